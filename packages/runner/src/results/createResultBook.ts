import type { LotId } from "@auburnarch/lots/LotId";
import type { LotOwner } from "@auburnarch/lots/LotOwner";
import type { LotStore } from "@auburnarch/lots/LotStore";
import type { ResultChunk } from "@auburnarch/lots/ResultChunk";
import type { ResultsAnswer } from "@auburnarch/lots/ResultsAnswer";
import type { Clock } from "@auburnarch/types/Clock";
import type { BookPage } from "./BookPage.js";
import { charsOf } from "./charsOf.js";
import { createBookPages } from "./createBookPages.js";
import type { ResultBook } from "./ResultBook.js";

interface ResultBookDeps {
    lots: Pick<LotStore, "readChunk">;
    /** No other runner can have recorded anything for the job lately. */
    isSoleWriter: (lot: LotId) => boolean;
    /** The other runner that runs a job. */
    holderOf: (lot: LotId) => string | undefined;
    /** A job that is over; undefined for any other. */
    endedEntry: (lot: LotId) => LotOwner | undefined;
    /** The runner that reads a job for all that nobody holds any more; undefined if that is this one. */
    readerOf: (lot: LotId) => string | undefined;
    clock: Clock;
}

/**
 * How long it counts that the store had no further chunk. A position that one gateway has shown must be shown by all
 * within a second; the rest is left for the answer's way. Shorter, more calls to the store would
 * look behind the end of jobs that are over.
 */
const verifiedForMs = 700;
/** Characters of one answer; a gateway asks again for what is left. */
const maxAnswerChars = 1_000_000;
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
    const pages = createBookPages();

    const isComplete = (page: BookPage): boolean => page.results >= page.total;

    async function readNext(lot: LotId, page: BookPage): Promise<boolean> {
        const sentAtMs = clock.monotonicMs();
        const number = page.chunks.length;
        const isSole = deps.isSoleWriter(lot);
        try {
            const chunk = await deps.lots.readChunk(lot, number);
            if (chunk === undefined) {
                page.verifiedAtMs = sentAtMs;
                page.isContested &&= !isSole;
            }
            else {
                pages.add(page, number, chunk);
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
        return isFresh || isComplete(page)
            || page.isRunning && !page.isContested && deps.isSoleWriter(lot);
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

    async function readAll(lot: LotId, page: BookPage): Promise<boolean> {
        while (!isComplete(page) && page.verifiedAtMs === -Infinity) {
            if (!await readNext(lot, page)) {
                return false;
            }
        }
        page.isLoaded = true;
        return true;
    }

    /**
     * Reads a job that is over and that no runner holds, as after a loss of power of all. Without it each gateway reads
     * each job from the store.
     */
    async function loadEnded(lot: LotId): Promise<BookPage | undefined> {
        const ended = deps.endedEntry(lot);
        if (ended === undefined) {
            return undefined;
        }
        const page = pages.open(lot, ended);
        page.isRunning = false;
        page.loading = readAll(lot, page);
        const isRead = await page.loading;
        if (!isRead && pages.get(lot) === page) {
            pages.delete(lot);
        }
        return isRead ? page : undefined;
    }

    const toReader = (lot: LotId, page: BookPage | undefined): string | undefined =>
        page === undefined && deps.endedEntry(lot) !== undefined ? deps.readerOf(lot) : undefined;

    return {
        open: (lot, owner) => void pages.open(lot, owner),
        note: (lot, number, chunk) => {
            const page = pages.get(lot);
            if (page !== undefined) {
                pages.add(page, number, chunk);
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
        noteRivals: isRivalled => {
            for (const [lot, page] of pages.running()) {
                page.isContested ||= isRivalled(lot);
            }
        },
        kept: pages.kept,
        answer: async (lot, fromChunk, waitMs): Promise<ResultsAnswer> => {
            const known = pages.get(lot);
            const runner = known?.isRunning === true ? undefined : deps.holderOf(lot) ?? toReader(lot, known);
            if (runner !== undefined && !(known !== undefined && isComplete(known))) {
                return { kind: "elsewhere", runner };
            }
            const page = known ?? await loadEnded(lot);
            await page?.loading;
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
            return { kind: "known", total: page.total, team: page.team, chunks, hasMore: !isLast };
        },
    };
}
