import type { LotId } from "@auburnarch/lots/LotId";
import type { LotOwner } from "@auburnarch/lots/LotOwner";
import type { ResultChunk } from "@auburnarch/lots/ResultChunk";
import type { BookPage } from "./BookPage.js";
import { charsOf } from "./charsOf.js";

/** The pages of a result book, within its memory. */
interface BookPages {
    get(lot: LotId): BookPage | undefined;
    /** Begins a page anew, for a job that runs here. */
    open(lot: LotId, owner: LotOwner): BookPage;
    /** Adds a chunk where it is the next one. */
    add(page: BookPage, number: number, chunk: ResultChunk): void;
    delete(lot: LotId): void;
    running(): Iterable<[LotId, BookPage]>;
    /** The newest of the jobs that do not run here but whose results are held. */
    kept(): LotId[];
}

/** Memory for all jobs, in characters: about a hundred jobs of today. The jobs opened longest ago go first. */
const maxBookChars = 16_000_000;

/**
 * Jobs that peers are told to be held here. Named in each probe's answer; without them a gateway that did not ask while
 * the job ran would read all its results from the store.
 */
const maxToldKept = 24;

/** Makes the pages of one process. */
export function createBookPages(): BookPages {
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

    return {
        get: lot => pages.get(lot),
        open: (lot, { total, team }) => {
            const page: BookPage = {
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
            pages.delete(lot);
            pages.set(lot, page);
            dropOldest();
            return page;
        },
        add,
        delete: lot => void pages.delete(lot),
        running: () => [...pages].filter(([, page]) => page.isRunning),
        kept: () =>
            [...pages].filter(([, page]) => !page.isRunning && page.isLoaded).map(([lot]) => lot)
                .slice(-maxToldKept),
    };
}
