import type { TokenSpan } from "@auburnarch/types/TokenSpan";

/** Journal of unfinished texts on disk, from which a restarted process continues them. */
export interface TextJournal {
    /** Texts of earlier processes, by item. Never rejects: an unreadable file is logged and counts as empty. */
    load(): Promise<Map<string, TokenSpan[]>>;
    /** Records the current text of an item; its new part is written with the next batch. */
    record(item: string, spans: TokenSpan[]): void;
    /** Writes all pending texts; resolves once they are on disk or the write has failed. */
    flush(): Promise<void>;
}
