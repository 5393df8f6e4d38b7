import type { TeamId } from "@auburnarch/types/TeamId";
import type { BatchJob } from "./BatchJob.js";
import type { BatchJobId } from "./BatchJobId.js";
import type { BatchJobItem } from "./BatchJobItem.js";
import type { ResultsPage } from "./ResultsPage.js";

/** Serves batch job results to clients. Every call may reject with the errors of the store. */
export interface BatchJobReader {
    /**
     * Returns results from position `after` on and waits up to `waitMs` for the first of them; undefined if the
     * caller's team has no such batch job.
     */
    read(
        batchJobId: BatchJobId,
        caller: TeamId | undefined,
        after: number,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<ResultsPage | undefined>;
    /** Caches a batch job that was accepted by this process. */
    cache(batchJob: BatchJob): void;
    /** Returns an item as it was submitted; undefined if the caller's team has no such item. */
    readItem(
        batchJobId: BatchJobId,
        caller: TeamId | undefined,
        item: string,
    ): Promise<BatchJobItem | undefined>;
}
