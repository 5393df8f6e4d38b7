import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { BatchJobId } from "@auburnarch/batches/BatchJobId";

/** Decodes a submitted batch job without its team; throws `badRequest` with the fault. */
export type DecodeBatchJob = (
    batchJobId: BatchJobId,
    host: string,
    path: string,
    body: Uint8Array,
) => Omit<BatchJob, "team">;
