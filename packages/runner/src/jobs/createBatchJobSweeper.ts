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
    /** One runner sweeps: the one that orders loads. */
    maySweep: () => boolean;
    /** Time for which clients may read a job after they submitted it. */
    retentionMs: number;
    clock: Clock;
    logger: Logger;
}

/** One job each time: deleting is a dozen calls to the store, and nobody waits for it. */
const intervalMs = 5_000;
/** A job that is still open, and clocks that differ, get this much more. */
const slackFactor = 2;

/** Deletes jobs that nobody may ask for any more. */
export function createBatchJobSweeper(deps: BatchJobSweeperDeps): { stop(): void; } {
    const { clock, logger } = deps;
    const stopped = new AbortController();

    function findExpired(): BatchJobId | undefined {
        const oldestMs = clock.wallMs() - slackFactor * deps.retentionMs;
        for (const [lot, entry] of deps.entries.objects() ?? []) {
            if (entry.submittedAtMs < oldestMs) {
                return lot as BatchJobId;
            }
        }
        return undefined;
    }

    async function sweepOnce(): Promise<void> {
        const lot = deps.maySweep() ? findExpired() : undefined;
        if (lot === undefined) {
            return;
        }
        try {
            await deps.store.remove(lot);
            logger.info("lotRemoved", { lot });
        }
        catch (error) {
            logger.warn("lotNotRemoved", { lot, name: codeOf(error).name });
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
