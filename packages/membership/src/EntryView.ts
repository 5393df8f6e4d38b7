import type { EntryRecord } from "@auburnarch/types/EntryRecord";

/** Another entry as seen by this one. */
export interface EntryView {
    record: EntryRecord;
    ageMs: number;
    suspected: boolean;
    leaving: boolean;
}
