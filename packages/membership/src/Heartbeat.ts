import type { EntryId } from "@auburnarch/types/EntryId";

/** What is known of an entry's life, as entries tell each other. */
export interface Heartbeat {
    entry: EntryId;
    /** Wall time of the entry's start, raised where an earlier run of it is known with a higher one. */
    generation: number;
    /** Grows by one with each exchange the entry starts. */
    counter: number;
    /** The entry takes no new work. */
    leaving?: boolean;
    /** Since `counter` it did not answer. A higher counter refutes this, by whomever it is brought. */
    suspected?: boolean;
}
