import type { Clock } from "@auburnarch/types/Clock";
import type { BatchJobId } from "./BatchJobId.js";
import type { BatchJobReader } from "./BatchJobReader.js";
import type { BatchJobStore } from "./BatchJobStore.js";
import type { BatchJobSummary } from "./BatchJobSummary.js";
import { countResultBytes } from "./countResultBytes.js";
import { createBatchJobCache } from "./createBatchJobCache.js";
import type { ItemResult } from "./ItemResult.js";
import { mayAccessBatchJob } from "./mayAccessBatchJob.js";
import type { ResultChunk } from "./ResultChunk.js";
import type { ResultsPage } from "./ResultsPage.js";
import type { ResultsSource } from "./ResultsSource.js";

/** The results of one batch job read so far. Results never change, so they are cached without expiry. */
interface CachedJob extends BatchJobSummary {
    results: ItemResult[];
    /** Number of chunks read so far, which is also the number of the next chunk. */
    chunks: number;
    /** Time at which the last refresh ended. */
    refreshedAtMs: number;
    /** A refresh that does not wait, shared by all readers that need one now. */
    reading: Promise<ReadSource> | undefined;
    /** A refresh that waits for the next chunk, shared by all readers that may wait. */
    waiting: Promise<ReadSource> | undefined;
}

/** Where a refresh read from. A runner itself waits for the next chunk; the store has to be polled. */
type ReadSource = "runner" | "store";

/** Longest wait of one query to a runner; limits how long a crash of the runner goes unnoticed here. */
const maxRunnerWaitMs = 1_000;
/** Polling interval of a waiting reader while no runner can answer; each poll is a call to the store. */
const refreshIntervalMs = 500;
/** The last third of a batch job is polled more often, since its trainer is waiting for it. */
const finalRefreshIntervalMs = 200;
const finalPhaseRatio = 0.67;
/** Limit of the results in one answer. The platform allows one megabyte; the rest is left for the envelope. */
const maxPageBytes = 900_000;
/**
 * Memory limit for the results of all batch jobs, in characters. The least recently read batch jobs are evicted
 * first.
 */
const maxCachedChars = 24_000_000;

const countChars = (results: ItemResult[]): number =>
    results.reduce((sum, result) => sum + result.output.length, 0);

/** Returns the results from `after` on that fit into one answer, at least one if there is any. */
function pageOf(cached: CachedJob, after: number): ResultsPage {
    const results: ItemResult[] = [];
    let bytes = 0;
    for (const result of cached.results.slice(after)) {
        bytes += countResultBytes(result);
        if (results.length > 0 && bytes > maxPageBytes) {
            break;
        }
        results.push(result);
    }
    return { total: cached.total, results, next: after + results.length };
}

/**
 * Creates the reader of one process. It queries the runner of a batch job first, which costs no store call. An empty
 * page is returned only after that runner or the store has confirmed that there is no further chunk: another process
 * may already have returned one, and a position that was read once must not disappear.
 */
export function createBatchJobReader(
    store: BatchJobStore,
    clock: Clock,
    source: ResultsSource,
): BatchJobReader {
    const cachedJobs = new Map<BatchJobId, CachedJob>();
    const batchJobs = createBatchJobCache(store);

    function markRecentlyUsed(batchJobId: BatchJobId, cached: CachedJob): void {
        cachedJobs.delete(batchJobId);
        cachedJobs.set(batchJobId, cached);
        let chars = 0;
        for (const each of cachedJobs.values()) {
            chars += countChars(each.results);
        }
        for (const [oldest, each] of cachedJobs) {
            if (chars <= maxCachedChars || oldest === batchJobId) {
                break;
            }
            chars -= countChars(each.results);
            cachedJobs.delete(oldest);
        }
    }

    async function load(batchJobId: BatchJobId): Promise<CachedJob | undefined> {
        const present = cachedJobs.get(batchJobId);
        if (present !== undefined) {
            return present;
        }
        const answer = await source(batchJobId, 0, 0);
        const summary = answer ?? await store.readEntry(batchJobId);
        if (summary === undefined) {
            return undefined;
        }
        let cached = cachedJobs.get(batchJobId);
        if (cached === undefined) {
            cached = {
                total: summary.total,
                team: summary.team,
                results: [],
                chunks: 0,
                refreshedAtMs: clock.monotonicMs(),
                reading: undefined,
                waiting: undefined,
            };
            markRecentlyUsed(batchJobId, cached);
        }
        addChunks(cached, 0, answer?.chunks ?? []);
        return cached;
    }

    /** Refreshes may overlap, so some of the chunks may have been added already. */
    function addChunks(cached: CachedJob, first: number, chunks: ResultChunk[]): void {
        for (const chunk of chunks.slice(Math.max(0, cached.chunks - first))) {
            cached.chunks++;
            cached.results.push(...chunk.results);
        }
    }

    async function readStore(batchJobId: BatchJobId, cached: CachedJob): Promise<void> {
        while (cached.results.length < cached.total) {
            const number = cached.chunks;
            const chunk = await store.readChunk(batchJobId, number);
            if (chunk === undefined) {
                return;
            }
            addChunks(cached, number, [chunk]);
        }
    }

    async function readMore(batchJobId: BatchJobId, cached: CachedJob, waitMs: number): Promise<ReadSource> {
        // One answer may not hold all stored chunks; a page that ended with it would hide positions that were read
        // before.
        for (let hasMore = true, mayWaitMs = waitMs; hasMore; mayWaitMs = 0) {
            const first = cached.chunks;
            const answer = await source(batchJobId, first, mayWaitMs);
            if (answer === undefined) {
                await readStore(batchJobId, cached);
                return "store";
            }
            addChunks(cached, first, answer.chunks);
            hasMore = answer.hasMore;
        }
        return "runner";
    }

    /** Concurrent refreshes of the same kind for a batch job share one call. */
    function refresh(batchJobId: BatchJobId, cached: CachedJob, waitMs: number): Promise<ReadSource> {
        const slot = waitMs > 0 ? "waiting" : "reading";
        cached[slot] ??= readMore(batchJobId, cached, waitMs).finally(() => {
            cached[slot] = undefined;
            cached.refreshedAtMs = clock.monotonicMs();
            markRecentlyUsed(batchJobId, cached);
        });
        return cached[slot];
    }

    /** Without a refresh, a client that reads again from the same position would get the same results for ever. */
    function isStale(cached: CachedJob): boolean {
        const isComplete = cached.results.length >= cached.total;
        return !isComplete && clock.monotonicMs() - cached.refreshedAtMs > refreshIntervalMs;
    }

    function refreshPauseMs(cached: CachedJob): number {
        const isFinalPhase = cached.results.length > finalPhaseRatio * cached.total;
        return isFinalPhase ? finalRefreshIntervalMs : refreshIntervalMs;
    }

    return {
        read: async (batchJobId, caller, after, waitMs, signal) => {
            const cached = await load(batchJobId);
            if (cached === undefined || !mayAccessBatchJob(cached.team, caller)) {
                return undefined;
            }
            const deadlineMs = clock.monotonicMs() + waitMs;
            if (cached.results.length > after && isStale(cached)) {
                await refresh(batchJobId, cached, 0);
            }
            while (cached.results.length <= after && cached.results.length < cached.total) {
                const queryWaitMs = Math.max(0, Math.min(deadlineMs - clock.monotonicMs(), maxRunnerWaitMs));
                const queriedAtMs = clock.monotonicMs();
                const readFrom = await refresh(batchJobId, cached, queryWaitMs);
                const nowMs = clock.monotonicMs();
                const remainingMs = deadlineMs - nowMs;
                if (cached.results.length > after || remainingMs <= 0 || signal.aborted) {
                    break;
                }
                // A runner answers at once when no further results are being generated; without a pause it would be
                // queried in a tight loop.
                if (readFrom === "store" || nowMs - queriedAtMs < queryWaitMs / 2) {
                    await clock.sleep(Math.min(refreshPauseMs(cached), remainingMs), signal);
                }
            }
            return pageOf(cached, after);
        },
        cache: batchJobs.add,
        readItem: async (batchJobId, caller, item) => {
            const found = await batchJobs.read(batchJobId);
            return found === undefined || !mayAccessBatchJob(found.team, caller)
                ? undefined
                : found.items.find(each => each.item === item);
        },
    };
}
