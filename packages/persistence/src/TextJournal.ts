import type { TokenSpan } from "@auburnarch/types/TokenSpan";

/** Unfinished texts on a disk, so that a process that died goes on behind them. */
export interface TextJournal {
    /** Texts of earlier processes, by item. Never rejects: an unreadable file is logged and counts as empty. */
    load(): Promise<Map<string, TokenSpan[]>>;
    /** Takes the present text of an item; what is new of it is written with the next batch. */
    record(item: string, spans: TokenSpan[]): void;
    /** Writes what waits; resolves once it is on disk or has failed. */
    flush(): Promise<void>;
}
