import type { BatchJobId } from "./BatchJobId.js";
import type { BatchJobSummary } from "./BatchJobSummary.js";
import type { ResultChunk } from "./ResultChunk.js";

/** Results as the runner of a job tells them; undefined if none can: then the store is to be read. */
export type ResultsSource = (
    batchJobId: BatchJobId,
    fromChunk: number,
    waitMs: number,
) => Promise<BatchJobSummary & { chunks: ResultChunk[]; hasMore: boolean; } | undefined>;
