import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { BatchJobSummary } from "@auburnarch/batches/BatchJobSummary";
import type { ResultChunk } from "@auburnarch/batches/ResultChunk";
import type { ResultsAnswer } from "@auburnarch/batches/ResultsAnswer";

/** Results of the jobs that run or ran here, for gateways that ask. */
export interface ResultCache {
    /** A run of the job starts here; what stands in the store is not known yet. */
    open(batchJobId: BatchJobId, summary: BatchJobSummary): void;
    note(batchJobId: BatchJobId, number: number, chunk: ResultChunk): void;
    /** All chunks that stood in the store when the run started have been noted. */
    markLoaded(batchJobId: BatchJobId): void;
    /** The job runs here no more. */
    close(batchJobId: BatchJobId): void;
    /**
     * Notes that other runners have, or may have had, jobs that run here too. What they recorded is not known here, also
     * once they are done with them.
     */
    markContested(isContested: (batchJobId: BatchJobId) => boolean): void;
    /** The newest of the jobs that run here no more but whose results are held. */
    listCached(): BatchJobId[];
    /** Chunks from `fromChunk` on, waiting up to `waitMs` for the first of them. */
    answer(batchJobId: BatchJobId, fromChunk: number, waitMs: number): Promise<ResultsAnswer>;
}
