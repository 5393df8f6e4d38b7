import { codeOf } from "@auburnarch/errors/codeOf";
import type { Clock } from "@auburnarch/types/Clock";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { Random } from "@auburnarch/types/Random";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import type { BreakRegistry } from "./BreakRegistry.js";
import type { ContentTrial } from "./ContentTrial.js";
import type { ContentTrials } from "./ContentTrials.js";
import { createKeptTrials } from "./createKeptTrials.js";
import { createRecordStorage } from "./createRecordStorage.js";
import { createRecordUpdates } from "./createRecordUpdates.js";
import { createSeenRecords } from "./createSeenRecords.js";
import { createTrialRecords } from "./createTrialRecords.js";
import type { StoredTrial } from "./StoredTrial.js";
import { trialRecordKey } from "./trialRecordKey.js";
import { trialRecordsKind } from "./trialRecordsKind.js";

interface ContentTrialsDeps {
    store: Pick<ObjectStore, "read" | "write" | "remove" | "list">;
    breaks: BreakRegistry;
    clock: Clock;
    random: Random;
    logger: Logger;
}

type Decision = Awaited<ReturnType<ContentTrials["take"]>>;
type Granted = Extract<Decision, { kind: "granted"; }>;

const absent = 0 as ObjectVersion;
/** Time after which a request of a content whose trial is under way may ask again. */
const underWayPauseMs = 250;
/** A trial of another process is looked at again after this time at the latest, since it may have been released. */
const maxRecheckMs = 500;
/** Time for which a trial that was not run may be used by later requests of the same process. */
const keepMs = 1_000;
/** Without an answer of the store for this long, the trial is granted by what this process knows. */
const storeWaitMs = 500;

/** The store may still accept a trial after its process has stopped waiting for the answer; both end together. */
const endBoth = ({ kind, trial }: Granted, stored: Promise<Decision | undefined>): Granted => ({
    kind,
    trial: {
        end: outcome => {
            trial.end(outcome);
            void stored.then(late => late?.kind === "granted" ? late.trial.end(outcome) : undefined);
        },
    },
});

/**
 * Creates the trials of one process. Each trial is written to the store under the version that was read, so that one of
 * several processes gets it, and with all breaks that its process knows, so that what is known outlives the processes
 * and reaches those that cannot exchange reports. While the store does not answer, each process decides for itself.
 */
export function createContentTrials(deps: ContentTrialsDeps): ContentTrials {
    const { store, breaks, clock, logger } = deps;
    const records = createTrialRecords(breaks, clock);
    const underWay = new Set<ContentDigest>();
    const kept = createKeptTrials(
        clock,
        (content, stored) => void update(() => updates.release(content, stored)),
    );
    const seen = createSeenRecords(
        breaks,
        clock,
        (content, version) => update(() => updates.remove(content, version)),
    );
    const updates = createRecordUpdates({ store, records, mergeRecord, onWritten: seen.add });
    const storeBreaks = createRecordStorage({ store, records, seen, clock, mergeRecord, update });
    /** Ends of the pauses found in the store, so that it is not asked again meanwhile. */
    const pausedUntilMs = new Map<ContentDigest, number>();

    /** A record that is not removed or released costs one more pause, and is removed when it is old. */
    async function update(change: () => Promise<unknown>): Promise<void> {
        await change().catch((error: unknown) => {
            logger.info("trialNotUpdated", { code: codeOf(error).number, name: codeOf(error).name });
        });
    }

    function endStored(
        content: ContentDigest,
        stored: StoredTrial,
        outcome: Parameters<ContentTrial["end"]>[0],
    ): void {
        if (outcome === "completed") {
            seen.forget(content);
            void update(() => updates.remove(content, stored.version));
        }
        else if (outcome === "notRun") {
            kept.keep(content, stored);
        }
    }

    function grant(content: ContentDigest, id: string, stored: StoredTrial | undefined): Granted {
        logger.info("trialStarted", {
            ...breaks.describe(content),
            trial: id,
            isStored: stored !== undefined,
        });
        return {
            kind: "granted",
            trial: {
                end: outcome => {
                    underWay.delete(content);
                    logger.info("trialEnded", { ...breaks.describe(content), trial: id, outcome });
                    if (stored !== undefined) {
                        endStored(content, stored, outcome);
                    }
                },
            },
        };
    }

    function pause(content: ContentDigest, pauseMs: number): Decision {
        const untilMs = clock.monotonicMs() + Math.min(pauseMs, maxRecheckMs);
        pausedUntilMs.set(content, untilMs);
        clock.startTimer(maxRecheckMs, () => pausedUntilMs.delete(content));
        return { kind: "paused", pauseMs };
    }

    function mergeRecord(content: ContentDigest, object: StoredObject | undefined): number {
        if (object !== undefined) {
            seen.add(content, object.version);
        }
        return records.merge(content, object);
    }

    async function takeStored(content: ContentDigest, id: string, limitMs: number): Promise<Decision> {
        const key = trialRecordKey(content);
        const object = await store.read(key);
        const trialPauseMs = mergeRecord(content, object);
        const pauseMs = Math.max(breaks.pauseMs(content), trialPauseMs);
        if (pauseMs > 0) {
            return pause(content, pauseMs);
        }
        const keptUntilMs = clock.monotonicMs() + keepMs;
        const trial = { id, atMs: Math.round(clock.wallMs()), limitMs: Math.round(limitMs + keepMs) };
        const outcome = await store.write(key, records.create(content, trial), object?.version ?? absent);
        if (outcome.kind === "conflict") {
            return pause(content, underWayPauseMs);
        }
        seen.add(content, outcome.version);
        return grant(content, id, { id, version: outcome.version, keptUntilMs });
    }

    async function takeNew(content: ContentDigest, limitMs: number): Promise<Decision> {
        const id = deps.random.nextId();
        const stored = takeStored(content, id, limitMs).catch(() => undefined);
        return await Promise.race([stored, clock.sleep(storeWaitMs).then(() => undefined)])
            ?? endBoth(grant(content, id, undefined), stored);
    }

    return {
        take: async (content, limitMs) => {
            const pauseMs = (pausedUntilMs.get(content) ?? 0) - clock.monotonicMs();
            if (pauseMs > 0 || underWay.has(content)) {
                return { kind: "paused", pauseMs: pauseMs > 0 ? pauseMs : underWayPauseMs };
            }
            underWay.add(content);
            const stored = kept.take(content);
            const decision = stored === undefined
                ? await takeNew(content, limitMs)
                : grant(content, stored.id, stored);
            if (decision.kind === "paused") {
                underWay.delete(content);
            }
            return decision;
        },
        storeBreaks,
        restore: async () => {
            const { objects } = await store.list(`${trialRecordsKind}/`);
            for (const object of objects) {
                mergeRecord(object.key.slice(trialRecordsKind.length + 1) as ContentDigest, object);
                if (records.isOld(object)) {
                    await update(() => store.remove(object.key, object.version));
                }
            }
            return objects.length;
        },
    };
}
