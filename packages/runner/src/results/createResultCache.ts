import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { BatchJobStore } from "@auburnarch/batches/BatchJobStore";
import type { BatchJobSummary } from "@auburnarch/batches/BatchJobSummary";
import { countResultBytes } from "@auburnarch/batches/countResultBytes";
import type { ResultChunk } from "@auburnarch/batches/ResultChunk";
import type { ResultsAnswer } from "@auburnarch/batches/ResultsAnswer";
import type { Clock } from "@auburnarch/types/Clock";
import { createResultCacheEntries } from "./createResultCacheEntries.js";
import type { ResultCache } from "./ResultCache.js";
import type { ResultCacheEntry } from "./ResultCacheEntry.js";

interface ResultCacheDeps {
    store: Pick<BatchJobStore, "readChunk">;
    /** No other runner can have recorded results of the batch job recently. */
    isSoleWriter: (batchJobId: BatchJobId) => boolean;
    /** The other runner that has the batch job or its results. */
    findHolder: (batchJobId: BatchJobId) => string | undefined;
    /** The entry of an ended batch job; undefined for any other. */
    findEndedEntry: (batchJobId: BatchJobId) => BatchJobSummary | undefined;
    /** The runner that reads a batch job that no runner has on behalf of all; undefined if that is this one. */
    chooseReader: (batchJobId: BatchJobId) => string | undefined;
    clock: Clock;
}

/**
 * Time for which a report of the store that there is no further chunk remains valid. A position that one gateway has
 * returned must be returned by all within a second; the rest of it is left for delivering the answer. A shorter time
 * would cause more store calls for batch jobs that are over.
 */
const verifiedForMs = 700;
/**
 * A chunk that was sent to the store longer ago, with no known outcome, may have been read from the store by a gateway.
 * A slow store answers within 240 ms.
 */
const maxAppendingMs = 300;
/**
 * Limit of one answer; a gateway requests the rest with another query. Clients of this system read answers of at most
 * four megabytes, and one chunk has at most one.
 */
const maxAnswerBytes = 1_000_000;

const countChunkBytes = ({ results }: ResultChunk): number =>
    results.reduce((sum, result) => sum + countResultBytes(result), 0);

function takeUpToLimit(chunks: ResultChunk[]): ResultChunk[] {
    let bytes = 0;
    const end = chunks.findIndex(chunk => (bytes += countChunkBytes(chunk)) > maxAnswerBytes);
    return end < 0 ? chunks : chunks.slice(0, Math.max(1, end));
}

/**
 * Creates the cache. Cached chunks are stored and never change, so a chunk from here equals the one in the store. The
 * end of the results is reported only if this runner is the sole writer and has no chunk of unknown outcome, or if the
 * store has just confirmed it: another runner of the batch job, or a write of this one whose answer was lost, may have
 * recorded a chunk that a client has read already.
 */
export function createResultCache(deps: ResultCacheDeps): ResultCache {
    const { clock } = deps;
    const entries = createResultCacheEntries();

    const isComplete = (entry: ResultCacheEntry): boolean => entry.results >= entry.total;

    async function readNext(batchJobId: BatchJobId, entry: ResultCacheEntry): Promise<boolean> {
        const sentAtMs = clock.monotonicMs();
        const number = entry.chunks.length;
        const isSole = deps.isSoleWriter(batchJobId);
        try {
            const chunk = await deps.store.readChunk(batchJobId, number);
            if (chunk === undefined) {
                entry.verifiedAtMs = sentAtMs;
                entry.isContested &&= !isSole;
            }
            else {
                entries.add(entry, number, chunk);
                entry.verifiedAtMs = -Infinity;
            }
            return true;
        }
        catch {
            // Failures are counted with all store calls; the gateway then reads the store itself.
            return false;
        }
    }

    /** Whether there is no chunk after the last cached one. */
    function isEnd(batchJobId: BatchJobId, entry: ResultCacheEntry): boolean {
        const isFresh = clock.monotonicMs() - entry.verifiedAtMs < verifiedForMs;
        return isFresh || isComplete(entry)
            || entry.isRunning && !entry.isContested && entry.appendingMs() <= maxAppendingMs
                && deps.isSoleWriter(batchJobId);
    }

    /** Reads one more chunk if there may be one; false if that is unknown because the store failed. */
    async function verifyEnd(batchJobId: BatchJobId, entry: ResultCacheEntry): Promise<boolean> {
        if (isEnd(batchJobId, entry)) {
            return true;
        }
        entry.verifying ??= readNext(batchJobId, entry).finally(() => {
            entry.verifying = undefined;
        });
        return entry.verifying;
    }

    async function waitForChunk(entry: ResultCacheEntry, fromChunk: number, waitMs: number): Promise<void> {
        const deadlineMs = clock.monotonicMs() + waitMs;
        const isOpen = (): boolean =>
            entry.isRunning && !isComplete(entry) && entry.chunks.length <= fromChunk;
        while (isOpen() && clock.monotonicMs() < deadlineMs) {
            await clock.sleep(deadlineMs - clock.monotonicMs(), entry.wake.signal);
        }
    }

    async function readAll(batchJobId: BatchJobId, entry: ResultCacheEntry): Promise<boolean> {
        while (!isComplete(entry) && entry.verifiedAtMs === -Infinity) {
            if (!await readNext(batchJobId, entry)) {
                return false;
            }
        }
        entry.isLoaded = true;
        return true;
    }

    /**
     * Reads a batch job that is over and that no runner has, as after a power loss of all VMs. Otherwise each gateway
     * would read each batch job from the store.
     */
    async function loadEnded(batchJobId: BatchJobId): Promise<ResultCacheEntry | undefined> {
        const ended = deps.findEndedEntry(batchJobId);
        if (ended === undefined) {
            return undefined;
        }
        const entry = entries.open(batchJobId, ended);
        entry.isRunning = false;
        entry.loading = readAll(batchJobId, entry);
        const isRead = await entry.loading;
        if (!isRead && entries.get(batchJobId) === entry) {
            entries.delete(batchJobId);
        }
        return isRead ? entry : undefined;
    }

    const findReader = (batchJobId: BatchJobId, entry: ResultCacheEntry | undefined): string | undefined =>
        entry === undefined && deps.findEndedEntry(batchJobId) !== undefined
            ? deps.chooseReader(batchJobId)
            : undefined;

    return {
        open: (batchJobId, summary, appendingMs) => void entries.open(batchJobId, summary, appendingMs),
        addChunk: (batchJobId, number, chunk) => {
            const entry = entries.get(batchJobId);
            if (entry !== undefined) {
                entries.add(entry, number, chunk);
            }
        },
        markLoaded: batchJobId => {
            const entry = entries.get(batchJobId);
            if (entry !== undefined) {
                entry.isLoaded = true;
            }
        },
        close: batchJobId => {
            const entry = entries.get(batchJobId);
            if (entry?.isLoaded === false) {
                entries.delete(batchJobId);
            }
            else if (entry !== undefined) {
                entry.isRunning = false;
                entry.wake.abort();
            }
        },
        markContested: isContested => {
            for (const [batchJobId, entry] of entries.running()) {
                entry.isContested ||= isContested(batchJobId);
            }
        },
        listCached: entries.listCached,
        answer: async (batchJobId, fromChunk, waitMs): Promise<ResultsAnswer> => {
            const cached = entries.get(batchJobId);
            const runner = cached?.isRunning === true
                ? undefined
                : deps.findHolder(batchJobId) ?? findReader(batchJobId, cached);
            if (runner !== undefined && !(cached !== undefined && isComplete(cached))) {
                return { kind: "elsewhere", runner };
            }
            const entry = cached ?? await loadEnded(batchJobId);
            await entry?.loading;
            if (entry === undefined || !entry.isLoaded) {
                return { kind: "unsure" };
            }
            await waitForChunk(entry, fromChunk, waitMs);
            if (entry.chunks.length <= fromChunk && !await verifyEnd(batchJobId, entry)) {
                return { kind: "unsure" };
            }
            const available = entry.chunks.slice(fromChunk);
            const chunks = takeUpToLimit(available);
            const isLast = chunks.length === available.length
                && (chunks.length === 0 || isEnd(batchJobId, entry));
            return { kind: "known", total: entry.total, team: entry.team, chunks, hasMore: !isLast };
        },
    };
}
