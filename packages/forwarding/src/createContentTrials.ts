import { codeOf } from "@auburnarch/errors/codeOf";
import { pauseAfterBreaks } from "@auburnarch/transport/pauseAfterBreaks";
import type { Clock } from "@auburnarch/types/Clock";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { Random } from "@auburnarch/types/Random";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import type { z } from "zod";
import type { BreakRegistry } from "./BreakRegistry.js";
import type { ContentTrial } from "./ContentTrial.js";
import type { ContentTrials } from "./ContentTrials.js";
import { trialRecordKey } from "./trialRecordKey.js";
import { trialRecordSchema } from "./trialRecordSchema.js";
import { trialRecordsKind } from "./trialRecordsKind.js";

interface ContentTrialsDeps {
    store: Pick<ObjectStore, "read" | "write" | "remove" | "list">;
    breaks: BreakRegistry;
    clock: Clock;
    random: Random;
    logger: Logger;
}

type TrialRecord = z.infer<typeof trialRecordSchema>;
type Decision = Awaited<ReturnType<ContentTrials["take"]>>;

const absent = 0 as ObjectVersion;
/** Time after which a request of a content whose trial is under way may ask again. */
const underWayPauseMs = 250;
/** Without an answer of the store for this long, the trial is granted by what this process knows. */
const storeWaitMs = 500;
/** A record without a later break or trial is removed after this time. */
const retentionMs = 3_600_000;
/** Stored times further in the future come from a clock that was wrong. */
const maxClockAheadMs = 5_000;

const parseRecord = (object: StoredObject | undefined): TrialRecord =>
    trialRecordSchema.safeParse(object?.value).data ?? { breaks: [] };

/**
 * Creates the trials of one process. Each trial is written to the store under the version that was read, so that one of
 * several processes gets it, and with all breaks that its process knows, so that what is known outlives the processes
 * and reaches those that cannot exchange reports. While the store does not answer, each process decides for itself.
 */
export function createContentTrials(deps: ContentTrialsDeps): ContentTrials {
    const { store, breaks, clock, logger } = deps;
    const underWay = new Set<ContentDigest>();

    const ageOf = (atMs: number): number => {
        const ageMs = clock.wallMs() - atMs;
        return ageMs < -maxClockAheadMs ? Infinity : Math.max(0, ageMs);
    };

    function mergeBreaks(content: ContentDigest, record: TrialRecord): void {
        const known = record.breaks.map(({ sampler, atMs }) => ({ sampler, ageMs: ageOf(atMs) }));
        breaks.merge([{ content, breaks: known }], "store");
    }

    /** Pause of a trial that has not shown yet how it ended; it counts as a break until its own break is reported. */
    function trialPauseMs(content: ContentDigest, { trial, breaks: before }: TrialRecord): number {
        const known = breaks.reportOf(content)?.breaks ?? [];
        const hasReported = known.some(({ sampler }) => !before.some(each => each.sampler === sampler));
        if (trial === undefined || hasReported) {
            return 0;
        }
        const pauseMs = Math.max(trial.limitMs, pauseAfterBreaks(breaks.countBreaks(content) + 1));
        return Math.max(0, pauseMs - ageOf(trial.atMs));
    }

    function createRecord(content: ContentDigest, trial: TrialRecord["trial"]): TrialRecord {
        const known = breaks.reportOf(content)?.breaks ?? [];
        const nowMs = clock.wallMs();
        const named = known.map(({ sampler, ageMs }) => ({ sampler, atMs: Math.round(nowMs - ageMs) }));
        return { breaks: named, ...(trial === undefined ? {} : { trial }) };
    }

    /** A record that is not removed or released costs one more pause, and is removed when it is old. */
    async function update(change: () => Promise<unknown>): Promise<void> {
        await change().catch((error: unknown) => {
            logger.info("trialNotUpdated", { code: codeOf(error).number, name: codeOf(error).name });
        });
    }

    function createTrial(
        content: ContentDigest,
        id: string,
        version: ObjectVersion | undefined,
    ): ContentTrial {
        return {
            end: outcome => {
                underWay.delete(content);
                logger.info("trialEnded", { ...breaks.describe(content), trial: id, outcome });
                if (version === undefined || outcome === "unknown") {
                    return;
                }
                const key = trialRecordKey(content);
                void update(() =>
                    outcome === "completed"
                        ? store.remove(key, version)
                        : store.write(key, createRecord(content, undefined), version)
                );
            },
        };
    }

    function grant(
        content: ContentDigest,
        id: string,
        version: ObjectVersion | undefined,
    ): Extract<Decision, { kind: "granted"; }> {
        logger.info("trialStarted", {
            ...breaks.describe(content),
            trial: id,
            isStored: version !== undefined,
        });
        return { kind: "granted", trial: createTrial(content, id, version) };
    }

    async function takeStored(content: ContentDigest, id: string, limitMs: number): Promise<Decision> {
        const key = trialRecordKey(content);
        const object = await store.read(key);
        const record = parseRecord(object);
        mergeBreaks(content, record);
        const pauseMs = Math.max(breaks.pauseMs(content), trialPauseMs(content, record));
        if (pauseMs > 0) {
            return { kind: "paused", pauseMs };
        }
        const trial = { id, atMs: Math.round(clock.wallMs()), limitMs: Math.round(limitMs) };
        const outcome = await store.write(key, createRecord(content, trial), object?.version ?? absent);
        return outcome.kind === "written"
            ? grant(content, id, outcome.version)
            : { kind: "paused", pauseMs: underWayPauseMs };
    }

    /** The store may still accept the trial after this process has stopped waiting for its answer. */
    function grantUnstored(
        content: ContentDigest,
        id: string,
        stored: Promise<Decision | undefined>,
    ): Decision {
        const { kind, trial } = grant(content, id, undefined);
        return {
            kind,
            trial: {
                end: outcome => {
                    trial.end(outcome);
                    void stored.then(late => late?.kind === "granted" ? late.trial.end(outcome) : undefined);
                },
            },
        };
    }

    return {
        take: async (content, limitMs) => {
            if (underWay.has(content)) {
                return { kind: "paused", pauseMs: underWayPauseMs };
            }
            underWay.add(content);
            const id = deps.random.nextId();
            const stored = takeStored(content, id, limitMs).catch(() => undefined);
            const decision = await Promise.race([stored, clock.sleep(storeWaitMs).then(() => undefined)])
                ?? grantUnstored(content, id, stored);
            if (decision.kind === "paused") {
                underWay.delete(content);
            }
            return decision;
        },
        restore: async () => {
            const { objects } = await store.list(`${trialRecordsKind}/`);
            for (const object of objects) {
                const record = parseRecord(object);
                mergeBreaks(object.key.slice(trialRecordsKind.length + 1) as ContentDigest, record);
                const times = [...record.breaks, ...record.trial === undefined ? [] : [record.trial]];
                if (times.every(({ atMs }) => ageOf(atMs) > retentionMs)) {
                    await update(() => store.remove(object.key, object.version));
                }
            }
            return objects.length;
        },
    };
}
