import type { Clock } from "@auburnarch/types/Clock";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { Logger } from "@auburnarch/types/Logger";
import type { RegisteredSampler } from "./RegisteredSampler.js";
import type { SamplerDirectory } from "./SamplerDirectory.js";
import type { WatchedKind } from "./WatchedKind.js";

/**
 * During an outage the store removes the entries of samplers that cannot reach it, although they are running; they
 * register again within two seconds after the outage. A sampler whose entry disappeared in an outage is therefore
 * retained for this long after its end; the extra half second is for its new entry to be read here.
 */
const reregistrationGraceMs = 2_500;

/** Maximum number of names whose latest start is recorded; the least recently seen ones are evicted. */
const maxNames = 8_192;

const formatServed = ({ served }: RegisteredSampler): string =>
    served.map(each => `${each.policy}:${each.version}`).join(",");

interface SamplerDirectoryDeps {
    entries: WatchedKind<RegisteredSampler>;
    /** Milliseconds since the end of the store's latest outage, or 0 while it lasts; infinite if none is known. */
    sinceOutageMs: () => number;
    clock: Clock;
    logger: Logger;
}

/** Creates the directory from the watched entries of the samplers. */
export function createSamplerDirectory(deps: SamplerDirectoryDeps): SamplerDirectory {
    const { entries, sinceOutageMs, clock, logger } = deps;
    let known = new Map<string, RegisteredSampler>();
    /** The same samplers by incarnation; looked up at each event of a run. */
    let byIncarnation = new Map<IncarnationId, RegisteredSampler>();
    /** Latest start observed under each name. */
    const latestStartMs = new Map<string, number>();
    const retained = new Map<string, { sampler: RegisteredSampler; untilMs: number; }>();

    /** Extends retention if another outage began before the sampler could register again. */
    function extendRetention(): void {
        const outageAtMs = clock.monotonicMs() - sinceOutageMs();
        for (const entry of retained.values()) {
            if (outageAtMs <= entry.untilMs) {
                entry.untilMs = outageAtMs + reregistrationGraceMs;
            }
        }
    }

    function refresh(): void {
        const nowMs = clock.monotonicMs();
        const graceUntilMs = nowMs - sinceOutageMs() + reregistrationGraceMs;
        extendRetention();
        const listed = new Map(
            [...entries.objects() ?? []].map(([name, entry]) => [name, resolveEntry(name, entry)]),
        );
        for (const [name, sampler] of known) {
            if (!listed.has(name) && nowMs < graceUntilMs && !sampler.isDraining) {
                retained.set(name, { sampler, untilMs: graceUntilMs });
            }
        }
        for (const [name, entry] of retained) {
            if (listed.has(name) || entry.untilMs <= nowMs) {
                retained.delete(name);
            }
        }
        logChanges(listed, nowMs);
        known = listed;
        byIncarnation = new Map([...known.values()].map(sampler => [sampler.incarnation, sampler]));
    }

    /**
     * An entry of an earlier start may be written after a later start has registered. Treating it as current would
     * restore weights that are no longer served, or a drain that has ended; the entry of the later start is kept.
     */
    function resolveEntry(name: string, entry: RegisteredSampler): RegisteredSampler {
        const { bornAtMs } = entry;
        const before = known.get(name);
        if (bornAtMs === undefined) {
            return entry;
        }
        if (bornAtMs < (latestStartMs.get(name) ?? bornAtMs)) {
            logger.warn("samplerEarlierStartIgnored", { sampler: name, bornAtMs });
            return before ?? { ...entry, isDraining: true };
        }
        latestStartMs.delete(name);
        latestStartMs.set(name, bornAtMs);
        if (latestStartMs.size > maxNames) {
            latestStartMs.delete(latestStartMs.keys().next().value!);
        }
        return entry;
    }

    function logChanges(listed: Map<string, RegisteredSampler>, nowMs: number): void {
        for (const [name, sampler] of listed) {
            const before = known.get(name);
            if (
                before?.incarnation !== sampler.incarnation || before.isDraining !== sampler.isDraining
                || formatServed(before) !== formatServed(sampler)
            ) {
                logger.info("samplerSeen", {
                    sampler: name,
                    bornAtMs: sampler.bornAtMs,
                    service: sampler.service,
                    address: `${sampler.host}:${sampler.port}`,
                    draining: sampler.isDraining,
                    serves: formatServed(sampler),
                });
            }
        }
        for (const name of known.keys()) {
            if (!listed.has(name)) {
                logger.info("samplerGone", {
                    sampler: name,
                    keptForMs: Math.round((retained.get(name)?.untilMs ?? nowMs) - nowMs),
                });
            }
        }
    }

    function* allSamplers(): Iterable<RegisteredSampler> {
        yield* known.values();
        extendRetention();
        const nowMs = clock.monotonicMs();
        for (const { sampler, untilMs } of retained.values()) {
            if (nowMs < untilMs) {
                yield sampler;
            }
        }
    }

    refresh();
    entries.onChange(refresh);
    return {
        isKnown: () => entries.objects() !== undefined,
        serving: service => [...allSamplers()].filter(each => each.service === service && !each.isDraining),
        find: (incarnation: IncarnationId) => {
            const found = byIncarnation.get(incarnation);
            return found ?? [...allSamplers()].find(each => each.incarnation === incarnation);
        },
        isListed: incarnation => byIncarnation.has(incarnation),
        ageMs: entries.ageMs,
    };
}
