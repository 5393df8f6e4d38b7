import type { Clock } from "@auburnarch/types/Clock";
import type { Lot } from "./Lot.js";
import type { LotId } from "./LotId.js";
import type { LotPage } from "./LotPage.js";
import type { LotReader } from "./LotReader.js";
import type { LotResult } from "./LotResult.js";
import type { LotStore } from "./LotStore.js";

/** One job as far as it was read here. Results never change, so they are kept as they come. */
interface Copy {
    total: number;
    results: LotResult[];
    /** Chunks read so far; the number of the next one. */
    chunks: number;
    reading: Promise<void> | undefined;
}

/**
 * How often a waiting reader looks for the next chunk. A look is a call to the store: at 300 ms they were two fifths of
 * all calls of a calm day (1,360 of 3,162, counted by kind). A step takes seconds.
 */
const lookIntervalMs = 500;
/** The last third of a job is what its trainer waits for. */
const lastLookIntervalMs = 200;
const lastPart = 0.67;
/** Results in one answer, in characters; the platform's bound is a megabyte, and quoting may double a character. */
const maxPageChars = 400_000;
/** Memory for results of all jobs together, in characters. The jobs read longest ago go first. */
const maxCachedChars = 24_000_000;
const maxCachedLots = 24;

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
 * Makes the reader of one process. An empty page is given only after the store has said that there is no further
 * chunk: another process may have shown one already, and a position that was read once must not vanish.
 */
export function createLotReader(lots: LotStore, clock: Clock): LotReader {
    const copies = new Map<LotId, Copy>();
    const bodies = new Map<LotId, Lot>();

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
        const entry = await lots.readEntry(lot);
        if (entry === undefined) {
            return undefined;
        }
        const fresh: Copy = { total: entry.total, results: [], chunks: 0, reading: undefined };
        const raced = copies.get(lot);
        if (raced === undefined) {
            touch(lot, fresh);
        }
        return raced ?? fresh;
    }

    async function readOn(lot: LotId, copy: Copy): Promise<void> {
        for (;;) {
            const chunk = await lots.readChunk(lot, copy.chunks);
            if (chunk === undefined) {
                return;
            }
            copy.chunks++;
            copy.results.push(...chunk.results);
            if (copy.results.length >= copy.total) {
                return;
            }
        }
    }

    /** Those who wait for the same job share one look at the store. */
    function look(lot: LotId, copy: Copy): Promise<void> {
        copy.reading ??= readOn(lot, copy).finally(() => {
            copy.reading = undefined;
            touch(lot, copy);
        });
        return copy.reading;
    }

    async function readLot(lot: LotId): Promise<Lot | undefined> {
        const present = bodies.get(lot);
        if (present !== undefined) {
            return present;
        }
        const found = await lots.readLot(lot);
        if (found !== undefined) {
            bodies.set(lot, found);
            if (bodies.size > maxCachedLots) {
                bodies.delete(bodies.keys().next().value!);
            }
        }
        return found;
    }

    return {
        read: async (lot, after, waitMs, signal) => {
            const copy = await open(lot);
            if (copy === undefined) {
                return undefined;
            }
            const untilMs = clock.monotonicMs() + waitMs;
            while (copy.results.length <= after && copy.results.length < copy.total) {
                await look(lot, copy);
                const leftMs = untilMs - clock.monotonicMs();
                if (copy.results.length > after || leftMs <= 0 || signal.aborted) {
                    break;
                }
                const isLast = copy.results.length > lastPart * copy.total;
                await clock.sleep(Math.min(isLast ? lastLookIntervalMs : lookIntervalMs, leftMs), signal);
            }
            return pageOf(copy, after);
        },
        readItem: async (lot, item) => {
            const found = await readLot(lot);
            return found?.items.find(each => each.item === item);
        },
    };
}
