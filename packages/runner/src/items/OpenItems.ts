import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { SampleId } from "@auburnarch/types/SampleId";

/** The items of one job that have no result yet. */
export interface OpenItems {
    /** Starts those that have none; tells how many of them are run and how many go on behind an earlier text. */
    start(batchJob: BatchJob): { runs: number; resumed: number; };
    /** The item stands in the store. */
    close(item: SampleId): void;
    /** Gives up all that are open. */
    terminateAll(reason: string): void;
    /** Keeps what is made of those that run, for a process that comes after this one. */
    saveTexts(): void;
    /** Ends their runs and keeps what was made, since items may come again in a later job. */
    withdrawAll(): void;
    /** Nothing of them is of use any more. */
    forgetAll(): void;
}
