import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { BatchJobItem } from "@auburnarch/batches/BatchJobItem";

/** An item that is to be run, with what its earlier runs came to. */
export interface ItemRun {
    batchJob: BatchJob;
    item: BatchJobItem;
    /** By the client's hint; undefined if it gave none. */
    expectedEvents: number | undefined;
    /** Answers of 500 so far. */
    failures: number;
    /** Gives the item up for good. */
    terminate: (reason: string) => void;
}
