import type { Clock } from "@auburnarch/types/Clock";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { Logger } from "@auburnarch/types/Logger";
import type { KnownSampler } from "./KnownSampler.js";
import type { SamplerDirectory } from "./SamplerDirectory.js";
import type { WatchedKind } from "./WatchedKind.js";

/**
 * The store drops the entries of samplers that it did not hear from while it was away, though they live; they are
 * back within two seconds of its return. A sampler whose entry vanished in the first moments after an outage is
 * therefore kept this long; half a second is for its next entry to be read here.
 */
const returnGraceMs = 2_500;

const servedText = ({ served }: KnownSampler): string =>
    served.map(each => `${each.policy}:${each.version}`).join(",");

/** Makes the directory over the copy of the samplers' entries. */
export function createSamplerDirectory(
    entries: WatchedKind<KnownSampler>,
    clock: Clock,
    logger: Logger,
): SamplerDirectory {
    let known = new Map<string, KnownSampler>();
    const lapsed = new Map<string, { sampler: KnownSampler; untilMs: number; }>();

    const graceUntilMs = (): number => (entries.regainedAtMs() ?? -Infinity) + returnGraceMs;

    function refresh(): void {
        const nowMs = clock.monotonicMs();
        const listed = new Map(entries.objects() ?? []);
        for (const [name, sampler] of known) {
            if (!listed.has(name) && nowMs < graceUntilMs() && !sampler.isDraining) {
                lapsed.set(name, { sampler, untilMs: graceUntilMs() });
            }
        }
        for (const [name, entry] of lapsed) {
            if (listed.has(name) || entry.untilMs <= nowMs) {
                lapsed.delete(name);
            }
        }
        logChanges(listed);
        known = listed;
    }

    function logChanges(listed: Map<string, KnownSampler>): void {
        for (const [name, sampler] of listed) {
            const before = known.get(name);
            if (
                before === undefined || before.isDraining !== sampler.isDraining
                || servedText(before) !== servedText(sampler)
            ) {
                logger.info("samplerSeen", {
                    sampler: name,
                    service: sampler.service,
                    address: `${sampler.host}:${sampler.port}`,
                    draining: sampler.isDraining,
                    serves: servedText(sampler),
                });
            }
        }
        for (const name of known.keys()) {
            if (!listed.has(name)) {
                logger.info("samplerGone", {
                    sampler: name,
                    keptForMs: lapsed.has(name) ? returnGraceMs : 0,
                });
            }
        }
    }

    function* everyOne(): Iterable<KnownSampler> {
        yield* known.values();
        const nowMs = clock.monotonicMs();
        for (const { sampler, untilMs } of lapsed.values()) {
            if (nowMs < untilMs) {
                yield sampler;
            }
        }
    }

    refresh();
    entries.onChange(refresh);
    return {
        isKnown: () => entries.objects() !== undefined,
        serving: service => [...everyOne()].filter(each => each.service === service && !each.isDraining),
        find: (incarnation: IncarnationId) =>
            known.get(incarnation) ?? [...everyOne()].find(each => each.incarnation === incarnation),
    };
}
