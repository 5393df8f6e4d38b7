import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { BatchJobStore } from "@auburnarch/batches/BatchJobStore";
import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import { codeOf } from "@auburnarch/errors/codeOf";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";

interface BatchJobSweeperDeps {
    entries: WatchedKind<BatchJobEntry>;
    store: Pick<BatchJobStore, "remove">;
    /** Only one runner sweeps: the one that orders weight loads. */
    maySweep: () => boolean;
    /** Time for which clients may read a batch job after its submission. */
    retentionMs: number;
    clock: Clock;
    logger: Logger;
}

/** One batch job per interval: a deletion takes about a dozen store calls and is not urgent. */
const intervalMs = 5_000;
/** Factor on the retention time that allows for batch jobs that are still open and for clock differences. */
const slackFactor = 2;

/** Deletes batch jobs whose retention time has passed. */
export function createBatchJobSweeper(deps: BatchJobSweeperDeps): { stop(): void; } {
    const { clock, logger } = deps;
    const stopped = new AbortController();

    function findExpired(): BatchJobId | undefined {
        const oldestMs = clock.wallMs() - slackFactor * deps.retentionMs;
        for (const [batchJobId, entry] of deps.entries.objects() ?? []) {
            if (entry.submittedAtMs < oldestMs) {
                return batchJobId as BatchJobId;
            }
        }
        return undefined;
    }

    async function sweepOnce(): Promise<void> {
        const batchJobId = deps.maySweep() ? findExpired() : undefined;
        if (batchJobId === undefined) {
            return;
        }
        try {
            await deps.store.remove(batchJobId);
            logger.info("lotRemoved", { lot: batchJobId });
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
