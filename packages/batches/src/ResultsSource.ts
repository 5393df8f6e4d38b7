import type { BatchJobId } from "./BatchJobId.js";
import type { BatchJobSummary } from "./BatchJobSummary.js";
import type { ResultChunk } from "./ResultChunk.js";

/**
 * Requests results from the runner of a batch job; undefined if no runner can answer and the store has to be read.
 */
export type ResultsSource = (
    batchJobId: BatchJobId,
    fromChunk: number,
    waitMs: number,
) => Promise<BatchJobSummary & { chunks: ResultChunk[]; hasMore: boolean; } | undefined>;
