import type { BatchJobId } from "@auburnarch/batches/BatchJobId";

/** A job that a runner runs, and for how long it has. */
export interface RunningBatchJob {
    lot: BatchJobId;
    runMs: number;
}
