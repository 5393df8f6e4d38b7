import type { TeamId } from "@auburnarch/types/TeamId";
import type { BatchJob } from "./BatchJob.js";
import type { BatchJobEntry } from "./BatchJobEntry.js";
import type { BatchJobId } from "./BatchJobId.js";
import type { ResultChunk } from "./ResultChunk.js";

/**
 * Batch jobs in the store. Every call may reject with `storeThrottled` (nothing was done) or `storeUnavailable` (a
 * write may have taken effect, or may yet).
 */
export interface BatchJobStore {
    /** Resolves once the job is kept. The same job again changes nothing. */
    accept(batchJob: BatchJob, submittedAtMs: number): Promise<void>;
    readEntry(batchJobId: BatchJobId): Promise<BatchJobEntry | undefined>;
    readLot(batchJobId: BatchJobId): Promise<BatchJob | undefined>;
    readChunk(batchJobId: BatchJobId, number: number): Promise<ResultChunk | undefined>;
    /** Resolves with the chunk that stands at this number: the given one, or another runner's. */
    appendChunk(batchJobId: BatchJobId, number: number, chunk: ResultChunk): Promise<ResultChunk>;
    /** Marks a job as ended; false if there is no such job of the caller's team. */
    end(batchJobId: BatchJobId, caller: TeamId | undefined): Promise<boolean>;
    /** Deletes all that is kept of a job, its entry last, so that a deletion that breaks off is taken up again. */
    remove(batchJobId: BatchJobId): Promise<void>;
}
