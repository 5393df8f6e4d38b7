import type { LotId } from "@auburnarch/lots/LotId";
import type { LotStore } from "@auburnarch/lots/LotStore";
import type { ResultChunk } from "@auburnarch/lots/ResultChunk";
import type { ResultsAnswer } from "@auburnarch/lots/ResultsAnswer";
import type { Clock } from "@auburnarch/types/Clock";
import type { ResultBook } from "./ResultBook.js";

interface ResultBookDeps {
    lots: Pick<LotStore, "readChunk">;
    /** No other runner can have recorded anything for the job lately. */
    isSoleWriter: (lot: LotId) => boolean;
    /** The other runner that runs a job. */
    holderOf: (lot: LotId) => string | undefined;
    clock: Clock;
}

interface BookPage {
    total: number;
    chunks: ResultChunk[];
    results: number;
    isLoaded: boolean;
    isRunning: boolean;
    /** When the store last said that there is no further chunk. */
    verifiedAtMs: number;
    verifying: Promise<boolean> | undefined;
    /** Wakes those who wait for the next chunk. */
    wake: AbortController;
}

/**
 * How long it counts that the store had no further chunk. A position that one gateway has shown must be shown by all
 * within a second; half of it is left for the answer's way.
 */
const verifiedForMs = 400;
/** Characters of one answer; a gateway asks again for what is left. */
const maxAnswerChars = 1_000_000;
/** Memory for all jobs, in characters: about a hundred jobs of today. The jobs opened longest ago go first. */
const maxBookChars = 16_000_000;

/**
 * Jobs that peers are told to be held here. Named in each probe's answer; without them a gateway that did not ask while
 * the job ran reads all its results from the store, 1,025 calls on a calm day with 34 processes.
 */
const maxToldKept = 24;

const charsOf = (chunks: ResultChunk[]): number =>
    chunks.reduce(
        (sum, chunk) => sum + chunk.results.reduce((inner, { output }) => inner + output.length, 0),
        0,
    );

function takeFitting(chunks: ResultChunk[]): ResultChunk[] {
    let chars = 0;
    const end = chunks.findIndex(chunk => (chars += charsOf([chunk])) > maxAnswerChars);
    return end < 0 ? chunks : chunks.slice(0, Math.max(1, end));
}

/**
 * Makes the book. What it holds stands in the store and never changes, so that a chunk from here is as good as one
 * from there. That there is no further chunk is said only where this runner is the sole writer or the store has just
 * said so: a second runner of the job may have recorded one that a client has seen already.
 */
export function createResultBook(deps: ResultBookDeps): ResultBook {
    const { clock } = deps;
    const pages = new Map<LotId, BookPage>();

    function add(page: BookPage, number: number, chunk: ResultChunk): void {
        if (number !== page.chunks.length) {
            return;
        }
        page.chunks.push(chunk);
        page.results += chunk.results.length;
        page.wake.abort();
        page.wake = new AbortController();
    }

    function dropOldest(): void {
        let chars = [...pages.values()].reduce((sum, page) => sum + charsOf(page.chunks), 0);
        for (const [lot, page] of pages) {
            if (chars <= maxBookChars) {
                return;
            }
            if (!page.isRunning) {
                chars -= charsOf(page.chunks);
                pages.delete(lot);
            }
        }
    }

    const isComplete = (page: BookPage): boolean => page.results >= page.total;

    async function readNext(lot: LotId, page: BookPage): Promise<boolean> {
        const sentAtMs = clock.monotonicMs();
        const number = page.chunks.length;
        try {
            const chunk = await deps.lots.readChunk(lot, number);
            if (chunk === undefined) {
                page.verifiedAtMs = sentAtMs;
            }
            else {
                add(page, number, chunk);
                page.verifiedAtMs = -Infinity;
            }
            return true;
        }
        catch {
            // Counted where calls are counted; the gateway reads the store itself.
            return false;
        }
    }

    /** Nothing stands behind the last chunk. */
    function isEnd(lot: LotId, page: BookPage): boolean {
        const isFresh = clock.monotonicMs() - page.verifiedAtMs < verifiedForMs;
        return isFresh || isComplete(page) || page.isRunning && deps.isSoleWriter(lot);
    }

    /** Looks for one more chunk where there may be one; false if that cannot be told. */
    async function lookBehind(lot: LotId, page: BookPage): Promise<boolean> {
        if (isEnd(lot, page)) {
            return true;
        }
        page.verifying ??= readNext(lot, page).finally(() => {
            page.verifying = undefined;
        });
        return page.verifying;
    }

    async function waitForChunk(page: BookPage, fromChunk: number, waitMs: number): Promise<void> {
        const untilMs = clock.monotonicMs() + waitMs;
        const isOpen = (): boolean => page.isRunning && !isComplete(page) && page.chunks.length <= fromChunk;
        while (isOpen() && clock.monotonicMs() < untilMs) {
            await clock.sleep(untilMs - clock.monotonicMs(), page.wake.signal);
        }
    }

    return {
        open: (lot, total) => {
            pages.delete(lot);
            pages.set(lot, {
                total,
                chunks: [],
                results: 0,
                isLoaded: false,
                isRunning: true,
                verifiedAtMs: -Infinity,
                verifying: undefined,
                wake: new AbortController(),
            });
            dropOldest();
        },
        note: (lot, number, chunk) => {
            const page = pages.get(lot);
            if (page !== undefined) {
                add(page, number, chunk);
            }
        },
        markLoaded: lot => {
            const page = pages.get(lot);
            if (page !== undefined) {
                page.isLoaded = true;
            }
        },
        close: lot => {
            const page = pages.get(lot);
            if (page?.isLoaded === false) {
                pages.delete(lot);
            }
            else if (page !== undefined) {
                page.isRunning = false;
                page.wake.abort();
            }
        },
        kept: () => [...pages].filter(([, page]) => !page.isRunning).map(([lot]) => lot).slice(-maxToldKept),
        answer: async (lot, fromChunk, waitMs): Promise<ResultsAnswer> => {
            const page = pages.get(lot);
            const runner = page?.isRunning === true ? undefined : deps.holderOf(lot);
            if (runner !== undefined && !(page !== undefined && isComplete(page))) {
                return { kind: "elsewhere", runner };
            }
            if (page === undefined || !page.isLoaded) {
                return { kind: "unsure" };
            }
            await waitForChunk(page, fromChunk, waitMs);
            if (page.chunks.length <= fromChunk && !await lookBehind(lot, page)) {
                return { kind: "unsure" };
            }
            const standing = page.chunks.slice(fromChunk);
            const chunks = takeFitting(standing);
            const isLast = chunks.length === standing.length && (chunks.length === 0 || isEnd(lot, page));
            return { kind: "known", total: page.total, chunks, hasMore: !isLast };
        },
    };
}
