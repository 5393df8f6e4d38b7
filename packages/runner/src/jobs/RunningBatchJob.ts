import type { BatchJobId } from "@auburnarch/batches/BatchJobId";

/** A batch job that a runner runs, and for how long it has run there. */
export interface RunningBatchJob {
    lot: BatchJobId;
    runMs: number;
}
