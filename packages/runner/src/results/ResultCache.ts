import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { BatchJobSummary } from "@auburnarch/batches/BatchJobSummary";
import type { ResultChunk } from "@auburnarch/batches/ResultChunk";
import type { ResultsAnswer } from "@auburnarch/batches/ResultsAnswer";

/** Cached results of the batch jobs that run or ran here, for queries of gateways. */
export interface ResultCache {
    /**
     * Starts an entry for a batch job that starts to run here; what the store holds is not known yet. `appendingMs` is
     * the time for which a chunk has been sent to the store without a known outcome, 0 if there is none.
     */
    open(batchJobId: BatchJobId, summary: BatchJobSummary, appendingMs?: () => number): void;
    addChunk(batchJobId: BatchJobId, number: number, chunk: ResultChunk): void;
    /** All chunks that were in the store when the run started have been added. */
    markLoaded(batchJobId: BatchJobId): void;
    /** The batch job no longer runs here. */
    close(batchJobId: BatchJobId): void;
    /**
     * Marks running batch jobs that other runners have, or may have had, too. What those recorded is not known here,
     * even after they have left the batch job.
     */
    markContested(isContested: (batchJobId: BatchJobId) => boolean): void;
    /** Lists the newest of the batch jobs that no longer run here but whose results are cached. */
    listCached(): BatchJobId[];
    /** Returns the chunks from `fromChunk` on, waiting up to `waitMs` for the first of them. */
    answer(batchJobId: BatchJobId, fromChunk: number, waitMs: number): Promise<ResultsAnswer>;
}
