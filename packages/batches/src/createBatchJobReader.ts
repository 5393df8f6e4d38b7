import type { Clock } from "@auburnarch/types/Clock";
import type { BatchJobId } from "./BatchJobId.js";
import type { BatchJobReader } from "./BatchJobReader.js";
import type { BatchJobStore } from "./BatchJobStore.js";
import type { BatchJobSummary } from "./BatchJobSummary.js";
import { createBatchJobCache } from "./createBatchJobCache.js";
import type { ItemResult } from "./ItemResult.js";
import { mayAccessBatchJob } from "./mayAccessBatchJob.js";
import type { ResultChunk } from "./ResultChunk.js";
import type { ResultsPage } from "./ResultsPage.js";
import type { ResultsSource } from "./ResultsSource.js";

/** One job as far as it was read here. Results never change, so they are kept as they come. */
interface CachedJob extends BatchJobSummary {
    results: ItemResult[];
    /** Chunks read so far; the number of the next one. */
    chunks: number;
    /** When the last look ended. */
    refreshedAtMs: number;
    /** A look that does not wait, shared by those who need one now. */
    reading: Promise<ReadSource> | undefined;
    /** A look that waits for the next chunk, shared by those who may wait. */
    waiting: Promise<ReadSource> | undefined;
}

/** A runner waits for the next chunk itself; the store has to be asked again after a pause. */
type ReadSource = "runner" | "store";

/** Longest wait of one question to a runner: bounds how long its death goes unnoticed here. */
const maxRunnerWaitMs = 1_000;
/** How often a waiting reader looks for the next chunk where no runner can tell; each look is a call to the store. */
const refreshIntervalMs = 500;
/** The last third of a job is what its trainer waits for. */
const finalRefreshIntervalMs = 200;
const finalPhaseRatio = 0.67;
/** Results in one answer, in characters; the platform's bound is a megabyte, and quoting may double a character. */
const maxPageChars = 400_000;
/** Memory for results of all jobs together, in characters. The jobs read longest ago go first. */
const maxCachedChars = 24_000_000;

const countChars = (results: ItemResult[]): number =>
    results.reduce((sum, result) => sum + result.output.length, 0);

/** Takes results from `after` on, one at least where there is one, within the size of an answer. */
function pageOf(cached: CachedJob, after: number): ResultsPage {
    const results: ItemResult[] = [];
    let chars = 0;
    for (const result of cached.results.slice(after)) {
        chars += result.output.length;
        if (results.length > 0 && chars > maxPageChars) {
            break;
        }
        results.push(result);
    }
    return { total: cached.total, results, next: after + results.length };
}

/**
 * Makes the reader of one process. It asks the runner of a job first, which costs the store nothing. An empty page is given only after that runner
 * or the store has said that there is no further chunk: another process may have shown one already, and a position
 * that was read once must not vanish.
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

    /** Looks overlap, so that some of the chunks may be known already. */
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
        // One answer may not hold all that stands; a page that ended with it would hide positions that were read before.
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

    /** Those who want the same of a job share one look. */
    function refresh(batchJobId: BatchJobId, cached: CachedJob, waitMs: number): Promise<ReadSource> {
        const slot = waitMs > 0 ? "waiting" : "reading";
        cached[slot] ??= readMore(batchJobId, cached, waitMs).finally(() => {
            cached[slot] = undefined;
            cached.refreshedAtMs = clock.monotonicMs();
            markRecentlyUsed(batchJobId, cached);
        });
        return cached[slot];
    }

    /** A client that reads from the same position again would see the same results for ever. */
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
                // A runner does not wait where nothing is made any more: asked at once again, it would be asked for ever.
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
