import type { BatchJobSummary } from "@auburnarch/batches/BatchJobSummary";
import type { ResultChunk } from "@auburnarch/batches/ResultChunk";

/** Results of one batch job, as far as this process knows them. */
export interface ResultCacheEntry extends BatchJobSummary {
    chunks: ResultChunk[];
    results: number;
    isLoaded: boolean;
    isRunning: boolean;
    /** Time for which a chunk has been sent to the store without a known outcome; 0 if there is none. */
    appendingMs: () => number;
    /** Another runner had the batch job too, and the store has not been asked since then what it recorded. */
    isContested: boolean;
    /** Time at which the store last reported that there is no further chunk. */
    verifiedAtMs: number;
    verifying: Promise<boolean> | undefined;
    loading: Promise<boolean> | undefined;
    /** Aborted to wake readers that wait for the next chunk. */
    wake: AbortController;
}
