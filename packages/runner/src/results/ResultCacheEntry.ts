import type { BatchJobSummary } from "@auburnarch/batches/BatchJobSummary";
import type { ResultChunk } from "@auburnarch/batches/ResultChunk";

/** Results of one job, as far as they are known here. */
export interface ResultCacheEntry extends BatchJobSummary {
    chunks: ResultChunk[];
    results: number;
    isLoaded: boolean;
    isRunning: boolean;
    /** Another runner had the job too, and the store has not been asked since for what it recorded. */
    isContested: boolean;
    /** When the store last said that there is no further chunk. */
    verifiedAtMs: number;
    verifying: Promise<boolean> | undefined;
    loading: Promise<boolean> | undefined;
    /** Wakes those who wait for the next chunk. */
    wake: AbortController;
}
