import type { EntryRecord } from "@auburnarch/types/EntryRecord";

/** An entry's record together with the generation that published it. */
export interface RecordRow {
    record: EntryRecord;
    /** Records of earlier generations are ignored: the entry may have restarted with another address. */
    generation: number;
}
