import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { BatchJobSummary } from "@auburnarch/batches/BatchJobSummary";
import type { ResultChunk } from "@auburnarch/batches/ResultChunk";
import { countChars } from "./countChars.js";
import type { ResultCacheEntry } from "./ResultCacheEntry.js";

/** The pages of a result book, within its memory. */
interface ResultCacheEntries {
    get(batchJobId: BatchJobId): ResultCacheEntry | undefined;
    /** Begins a page anew, for a job that runs here. */
    open(batchJobId: BatchJobId, summary: BatchJobSummary): ResultCacheEntry;
    /** Adds a chunk where it is the next one. */
    add(entry: ResultCacheEntry, number: number, chunk: ResultChunk): void;
    delete(batchJobId: BatchJobId): void;
    running(): Iterable<[BatchJobId, ResultCacheEntry]>;
    /** The newest of the jobs that do not run here but whose results are held. */
    listCached(): BatchJobId[];
}

/** Memory for all jobs, in characters: about a hundred jobs of today. The jobs opened longest ago go first. */
const maxCachedChars = 16_000_000;

/**
 * Jobs that peers are told to be held here. Named in each probe's answer; without them a gateway that did not ask while
 * the job ran would read all its results from the store.
 */
const maxReportedBatchJobs = 24;

/** Makes the pages of one process. */
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
        let chars = [...entries.values()].reduce((sum, page) => sum + countChars(page.chunks), 0);
        for (const [lot, page] of entries) {
            if (chars <= maxCachedChars) {
                return;
            }
            if (!page.isRunning) {
                chars -= countChars(page.chunks);
                entries.delete(lot);
            }
        }
    }

    return {
        get: batchJobId => entries.get(batchJobId),
        open: (batchJobId, { total, team }) => {
            const entry: ResultCacheEntry = {
                total,
                team,
                chunks: [],
                results: 0,
                isLoaded: false,
                isRunning: true,
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
        running: () => [...entries].filter(([, page]) => page.isRunning),
        listCached: () =>
            [...entries].filter(([, page]) => !page.isRunning && page.isLoaded).map(([lot]) => lot)
                .slice(-maxReportedBatchJobs),
    };
}
