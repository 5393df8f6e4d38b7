import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { BatchJobSummary } from "@auburnarch/batches/BatchJobSummary";
import type { ResultChunk } from "@auburnarch/batches/ResultChunk";
import { countChars } from "./countChars.js";
import type { ResultCacheEntry } from "./ResultCacheEntry.js";

/** The entries of a result cache, within its memory limit. */
interface ResultCacheEntries {
    get(batchJobId: BatchJobId): ResultCacheEntry | undefined;
    /** Creates or replaces the entry of a batch job that runs here. */
    open(
        batchJobId: BatchJobId,
        summary: BatchJobSummary,
        appendingMs?: () => number,
    ): ResultCacheEntry;
    /** Adds a chunk if it is the next one. */
    add(entry: ResultCacheEntry, number: number, chunk: ResultChunk): void;
    delete(batchJobId: BatchJobId): void;
    running(): Iterable<[BatchJobId, ResultCacheEntry]>;
    /** Lists the newest of the batch jobs that do not run here but whose results are cached. */
    listCached(): BatchJobId[];
}

/**
 * Memory limit for all batch jobs in characters: about a hundred batch jobs of typical size. Those opened longest ago
 * are evicted first.
 */
const maxCachedChars = 16_000_000;

/**
 * Maximum number of cached batch jobs reported to peers. They are listed in each probe's answer; without them, a
 * gateway that did not ask while the batch job ran would read all its results from the store.
 */
const maxReportedBatchJobs = 24;

/** Creates the cache entries of one process. */
export function createResultCacheEntries(): ResultCacheEntries {
    const entries = new Map<BatchJobId, ResultCacheEntry>();

    function add(entry: ResultCacheEntry, number: number, chunk: ResultChunk): void {
        if (number !== entry.chunks.length) {
            return;
        }
        entry.chunks.push(chunk);
        entry.results += chunk.results.length;
        entry.wake.abort();
        entry.wake = new AbortController();
    }

    function dropOldest(): void {
        let chars = [...entries.values()].reduce((sum, entry) => sum + countChars(entry.chunks), 0);
        for (const [batchJobId, entry] of entries) {
            if (chars <= maxCachedChars) {
                return;
            }
            if (!entry.isRunning) {
                chars -= countChars(entry.chunks);
                entries.delete(batchJobId);
            }
        }
    }

    return {
        get: batchJobId => entries.get(batchJobId),
        open: (batchJobId, { total, team }, appendingMs = () => 0) => {
            const entry: ResultCacheEntry = {
                total,
                team,
                chunks: [],
                results: 0,
                isLoaded: false,
                isRunning: true,
                appendingMs,
                isContested: false,
                verifiedAtMs: -Infinity,
                verifying: undefined,
                loading: undefined,
                wake: new AbortController(),
            };
            entries.delete(batchJobId);
            entries.set(batchJobId, entry);
            dropOldest();
            return entry;
        },
        add,
        delete: batchJobId => void entries.delete(batchJobId),
        running: () => [...entries].filter(([, entry]) => entry.isRunning),
        listCached: () =>
            [...entries].filter(([, entry]) => !entry.isRunning && entry.isLoaded).map(([batchJobId]) =>
                batchJobId
            )
                .slice(-maxReportedBatchJobs),
    };
}
