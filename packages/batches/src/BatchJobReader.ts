import type { TeamId } from "@auburnarch/types/TeamId";
import type { BatchJob } from "./BatchJob.js";
import type { BatchJobId } from "./BatchJobId.js";
import type { BatchJobItem } from "./BatchJobItem.js";
import type { ResultsPage } from "./ResultsPage.js";

/** Answers readers of batch jobs. Every call may reject as the store does. */
export interface BatchJobReader {
    /**
     * Results from position `after` on, waiting up to `waitMs` for the first of them; undefined if there is no such
     * job of the caller's team.
     */
    read(
        batchJobId: BatchJobId,
        caller: TeamId | undefined,
        after: number,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<ResultsPage | undefined>;
    /** Notes a job that was accepted here. */
    cache(batchJob: BatchJob): void;
    /** An item as it was submitted; undefined if there is none of the caller's team. */
    readItem(
        batchJobId: BatchJobId,
        caller: TeamId | undefined,
        item: string,
    ): Promise<BatchJobItem | undefined>;
}
