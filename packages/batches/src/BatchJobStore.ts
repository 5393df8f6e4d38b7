import type { TeamId } from "@auburnarch/types/TeamId";
import type { BatchJob } from "./BatchJob.js";
import type { BatchJobEntry } from "./BatchJobEntry.js";
import type { BatchJobId } from "./BatchJobId.js";
import type { ChangeOutcome } from "./ChangeOutcome.js";
import type { ResultChunk } from "./ResultChunk.js";

/**
 * Batch jobs in the store. Every call except `accept` may reject with `storeThrottled` (nothing was done) or
 * `storeUnavailable` (a write may have taken effect, or may still take effect).
 */
export interface BatchJobStore {
    /**
     * Stores the batch job; rejects only if an entry is stored that cannot be parsed. Accepting the same batch job again
     * changes nothing.
     */
    accept(batchJob: BatchJob, submittedAtMs: number): Promise<ChangeOutcome>;
    readEntry(batchJobId: BatchJobId): Promise<BatchJobEntry | undefined>;
    readBatchJob(batchJobId: BatchJobId): Promise<BatchJob | undefined>;
    readChunk(batchJobId: BatchJobId, number: number): Promise<ResultChunk | undefined>;
    /** Resolves with the chunk stored under this number: the given one, or one that another runner stored first. */
    appendChunk(batchJobId: BatchJobId, number: number, chunk: ResultChunk): Promise<ResultChunk>;
    /**
     * Marks a batch job as ended; `absent` if the caller's team has no such batch job. Rejects only if
     * neither it nor an earlier end of the same batch job by this process can take effect, because the entry could not be
     * read or kept changing.
     */
    end(batchJobId: BatchJobId, caller: TeamId | undefined): Promise<ChangeOutcome | { kind: "absent"; }>;
    /** Deletes all objects of a batch job, its entry last, so that an interrupted deletion is resumed. */
    remove(batchJobId: BatchJobId): Promise<void>;
}
