import type { EntryRecord } from "@auburnarch/types/EntryRecord";

/** The record of one run of an entry. */
export interface RecordRow {
    record: EntryRecord;
    /** A record of an earlier generation is dropped: the entry may have come back under another address. */
    generation: number;
}
