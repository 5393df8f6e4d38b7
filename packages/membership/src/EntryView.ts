import type { EntryRecord } from "@auburnarch/types/EntryRecord";

/** An entry as this one sees it. */
export interface EntryView {
    record: EntryRecord;
    ageMs: number;
    suspected: boolean;
    leaving: boolean;
}
