import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { BatchJobStore } from "@auburnarch/batches/BatchJobStore";
import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import { codeOf } from "@auburnarch/errors/codeOf";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";

interface BatchJobSweeperDeps {
    entries: WatchedKind<BatchJobEntry>;
    store: Pick<BatchJobStore, "remove" | "readChunk" | "end">;
    /** Only one runner sweeps: the one that orders weight loads. */
    maySweep: () => boolean;
    /** Time for which clients may read a batch job after its submission. */
    retentionMs: number;
    clock: Clock;
    logger: Logger;
}

/** What is known of the results of a batch job that its client has not ended. */
interface RecordedResults {
    chunks: number;
    results: number;
    /** Time since which it is known to be complete. */
    completeSinceMs: number | undefined;
}

/** One batch job per interval: a deletion takes about a dozen store calls and is not urgent. */
const intervalMs = 5_000;
/** Factor on the retention time that allows for clock differences. */
const slackFactor = 2;

/**
 * Deletes batch jobs whose retention time has passed. A batch job that is open, neither ended by its client nor complete,
 * is kept whatever its age. A complete one that its client has not ended is kept for another retention time, since
 * its last results may be new.
 */
export function createBatchJobSweeper(deps: BatchJobSweeperDeps): { stop(): void; } {
    const { clock, logger } = deps;
    const stopped = new AbortController();
    const recorded = new Map<BatchJobId, RecordedResults>();
    /** Batch jobs that were checked in the current turn. */
    const checked = new Set<BatchJobId>();

    function listExpired(): [BatchJobId, BatchJobEntry][] {
        const oldestMs = clock.wallMs() - slackFactor * deps.retentionMs;
        const entries = [...deps.entries.objects() ?? []] as [BatchJobId, BatchJobEntry][];
        return entries.filter(([, entry]) => entry.submittedAtMs < oldestMs);
    }

    function forgetRemoved(expired: [BatchJobId, BatchJobEntry][]): void {
        const known = new Set(expired.map(([batchJobId]) => batchJobId));
        [...recorded.keys()].filter(batchJobId => !known.has(batchJobId)).forEach(id => recorded.delete(id));
    }

    /** Reads the chunks that were recorded since the last call. */
    async function updateRecorded(batchJobId: BatchJobId, total: number): Promise<RecordedResults> {
        const known = recorded.get(batchJobId) ?? { chunks: 0, results: 0, completeSinceMs: undefined };
        recorded.set(batchJobId, known);
        while (known.results < total) {
            const chunk = await deps.store.readChunk(batchJobId, known.chunks);
            if (chunk === undefined) {
                return known;
            }
            known.chunks++;
            known.results += chunk.results.length;
        }
        known.completeSinceMs ??= clock.monotonicMs();
        return known;
    }

    /** Whether the batch job's results are complete and have been so for the retention time. */
    async function isOver(batchJobId: BatchJobId, total: number): Promise<boolean> {
        const { completeSinceMs } = await updateRecorded(batchJobId, total);
        return completeSinceMs !== undefined && clock.monotonicMs() - completeSinceMs > deps.retentionMs;
    }

    /**
     * The batch job to delete now. Each of those that are not ended costs one read or more, so one of them is checked
     * per interval, in turn.
     */
    async function findSweepable(): Promise<BatchJobId | undefined> {
        const expired = listExpired();
        forgetRemoved(expired);
        const ended = expired.find(([, entry]) => entry.isEnded);
        if (ended !== undefined) {
            return ended[0];
        }
        const next = expired.find(([batchJobId]) => !checked.has(batchJobId)) ?? expired[0];
        if (next === undefined) {
            return undefined;
        }
        const [batchJobId, entry] = next;
        if (checked.has(batchJobId)) {
            checked.clear();
        }
        checked.add(batchJobId);
        if (!await isOver(batchJobId, entry.total)) {
            return undefined;
        }
        // An interrupted deletion would leave a batch job that looks open and lacks its first results.
        const outcome = await deps.store.end(batchJobId, entry.team);
        return outcome.kind === "done" ? batchJobId : undefined;
    }

    async function sweepOnce(): Promise<void> {
        let batchJobId: BatchJobId | undefined;
        try {
            batchJobId = deps.maySweep() ? await findSweepable() : undefined;
            if (batchJobId !== undefined) {
                await deps.store.remove(batchJobId);
                logger.info("lotRemoved", { lot: batchJobId });
            }
        }
        catch (error) {
            logger.warn("lotNotRemoved", { lot: batchJobId, name: codeOf(error).name });
        }
    }

    async function run(): Promise<void> {
        while (!stopped.signal.aborted) {
            await clock.sleep(intervalMs, stopped.signal);
            await sweepOnce();
        }
    }

    void run();
    return { stop: () => stopped.abort() };
}
