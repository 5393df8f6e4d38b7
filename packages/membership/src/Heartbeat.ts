import type { EntryId } from "@auburnarch/types/EntryId";

/** A sign of life of an entry, passed on by others. */
export interface Heartbeat {
    entry: EntryId;
    /** Wall time of the entry's start, raised where an earlier run of it is known with a higher one. */
    generation: number;
    /** Grows by one with each exchange the entry starts. */
    counter: number;
    leaving: boolean;
}
