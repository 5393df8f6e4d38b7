import type { Clock } from "@auburnarch/types/Clock";
import { createLotBodies } from "./createLotBodies.js";
import type { LotId } from "./LotId.js";
import type { LotOwner } from "./LotOwner.js";
import type { LotPage } from "./LotPage.js";
import type { LotReader } from "./LotReader.js";
import type { LotResult } from "./LotResult.js";
import type { LotStore } from "./LotStore.js";
import { mayUseLot } from "./mayUseLot.js";
import type { ResultChunk } from "./ResultChunk.js";
import type { ResultsSource } from "./ResultsSource.js";

/** One job as far as it was read here. Results never change, so they are kept as they come. */
interface Copy extends LotOwner {
    results: LotResult[];
    /** Chunks read so far; the number of the next one. */
    chunks: number;
    /** When the last look ended. */
    lookedAtMs: number;
    /** A look that does not wait, shared by those who need one now. */
    reading: Promise<LookedAt> | undefined;
    /** A look that waits for the next chunk, shared by those who may wait. */
    waiting: Promise<LookedAt> | undefined;
}

/** A runner waits for the next chunk itself; the store has to be asked again after a pause. */
type LookedAt = "runner" | "store";

/** Longest wait of one question to a runner: bounds how long its death goes unnoticed here. */
const runnerWaitMs = 1_000;
/** How often a waiting reader looks for the next chunk where no runner can tell; each look is a call to the store. */
const lookIntervalMs = 500;
/** The last third of a job is what its trainer waits for. */
const lastLookIntervalMs = 200;
const lastPart = 0.67;
/** Results in one answer, in characters; the platform's bound is a megabyte, and quoting may double a character. */
const maxPageChars = 400_000;
/** Memory for results of all jobs together, in characters. The jobs read longest ago go first. */
const maxCachedChars = 24_000_000;

const charsOf = (results: LotResult[]): number =>
    results.reduce((sum, result) => sum + result.output.length, 0);

/** Takes results from `after` on, one at least where there is one, within the size of an answer. */
function pageOf(copy: Copy, after: number): LotPage {
    const results: LotResult[] = [];
    let chars = 0;
    for (const result of copy.results.slice(after)) {
        chars += result.output.length;
        if (results.length > 0 && chars > maxPageChars) {
            break;
        }
        results.push(result);
    }
    return { total: copy.total, results, next: after + results.length };
}

/**
 * Makes the reader of one process. It asks the runner of a job first, which costs the store nothing. An empty page is given only after that runner
 * or the store has said that there is no further chunk: another process may have shown one already, and a position
 * that was read once must not vanish.
 */
export function createLotReader(lots: LotStore, clock: Clock, source: ResultsSource): LotReader {
    const copies = new Map<LotId, Copy>();
    const bodies = createLotBodies(lots);

    function touch(lot: LotId, copy: Copy): void {
        copies.delete(lot);
        copies.set(lot, copy);
        let chars = 0;
        for (const each of copies.values()) {
            chars += charsOf(each.results);
        }
        for (const [oldest, each] of copies) {
            if (chars <= maxCachedChars || oldest === lot) {
                break;
            }
            chars -= charsOf(each.results);
            copies.delete(oldest);
        }
    }

    async function open(lot: LotId): Promise<Copy | undefined> {
        const present = copies.get(lot);
        if (present !== undefined) {
            return present;
        }
        const told = await source(lot, 0, 0);
        const owner = told ?? await lots.readEntry(lot);
        if (owner === undefined) {
            return undefined;
        }
        let copy = copies.get(lot);
        if (copy === undefined) {
            copy = {
                total: owner.total,
                team: owner.team,
                results: [],
                chunks: 0,
                lookedAtMs: clock.monotonicMs(),
                reading: undefined,
                waiting: undefined,
            };
            touch(lot, copy);
        }
        addChunks(copy, 0, told?.chunks ?? []);
        return copy;
    }

    /** Looks overlap, so that some of the chunks may be known already. */
    function addChunks(copy: Copy, first: number, chunks: ResultChunk[]): void {
        for (const chunk of chunks.slice(Math.max(0, copy.chunks - first))) {
            copy.chunks++;
            copy.results.push(...chunk.results);
        }
    }

    async function readStore(lot: LotId, copy: Copy): Promise<void> {
        while (copy.results.length < copy.total) {
            const number = copy.chunks;
            const chunk = await lots.readChunk(lot, number);
            if (chunk === undefined) {
                return;
            }
            addChunks(copy, number, [chunk]);
        }
    }

    async function readOn(lot: LotId, copy: Copy, waitMs: number): Promise<LookedAt> {
        // One answer may not hold all that stands; a page that ended with it would hide positions that were read before.
        for (let hasMore = true, mayWaitMs = waitMs; hasMore; mayWaitMs = 0) {
            const first = copy.chunks;
            const told = await source(lot, first, mayWaitMs);
            if (told === undefined) {
                await readStore(lot, copy);
                return "store";
            }
            addChunks(copy, first, told.chunks);
            hasMore = told.hasMore;
        }
        return "runner";
    }

    /** Those who want the same of a job share one look. */
    function look(lot: LotId, copy: Copy, waitMs: number): Promise<LookedAt> {
        const slot = waitMs > 0 ? "waiting" : "reading";
        copy[slot] ??= readOn(lot, copy, waitMs).finally(() => {
            copy[slot] = undefined;
            copy.lookedAtMs = clock.monotonicMs();
            touch(lot, copy);
        });
        return copy[slot];
    }

    /** A client that reads from the same position again would see the same results for ever. */
    function isBehind(copy: Copy): boolean {
        const isComplete = copy.results.length >= copy.total;
        return !isComplete && clock.monotonicMs() - copy.lookedAtMs > lookIntervalMs;
    }

    function pauseMs(copy: Copy): number {
        const isLast = copy.results.length > lastPart * copy.total;
        return isLast ? lastLookIntervalMs : lookIntervalMs;
    }

    return {
        read: async (lot, caller, after, waitMs, signal) => {
            const copy = await open(lot);
            if (copy === undefined || !mayUseLot(copy.team, caller)) {
                return undefined;
            }
            const untilMs = clock.monotonicMs() + waitMs;
            if (copy.results.length > after && isBehind(copy)) {
                await look(lot, copy, 0);
            }
            while (copy.results.length <= after && copy.results.length < copy.total) {
                const askMs = Math.max(0, Math.min(untilMs - clock.monotonicMs(), runnerWaitMs));
                const askedAtMs = clock.monotonicMs();
                const lookedAt = await look(lot, copy, askMs);
                const nowMs = clock.monotonicMs();
                const leftMs = untilMs - nowMs;
                if (copy.results.length > after || leftMs <= 0 || signal.aborted) {
                    break;
                }
                // A runner does not wait where nothing is made any more: asked at once again, it would be asked for ever.
                if (lookedAt === "store" || nowMs - askedAtMs < askMs / 2) {
                    await clock.sleep(Math.min(pauseMs(copy), leftMs), signal);
                }
            }
            return pageOf(copy, after);
        },
        keep: bodies.keep,
        readItem: async (lot, caller, item) => {
            const found = await bodies.read(lot);
            return found === undefined || !mayUseLot(found.team, caller)
                ? undefined
                : found.items.find(each => each.item === item);
        },
    };
}
