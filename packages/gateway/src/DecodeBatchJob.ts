import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { BatchJobId } from "@auburnarch/batches/BatchJobId";

/** Decodes a submitted batch job, but for whose it is; throws a `ResultError` of code `badRequest` that names the fault. */
export type DecodeBatchJob = (
    batchJobId: BatchJobId,
    host: string,
    path: string,
    body: Uint8Array,
) => Omit<BatchJob, "team">;
