import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { BatchJobItem } from "@auburnarch/batches/BatchJobItem";

/** An item to be run, with the outcome of its earlier runs. */
export interface ItemRun {
    batchJob: BatchJob;
    item: BatchJobItem;
    /** Derived from the client's hint; undefined if it gave none. */
    expectedEvents: number | undefined;
    /** Number of responses with status 500 so far. */
    failures: number;
    /** Terminates the item permanently. */
    terminate: (reason: string) => void;
}
