import type { EntryId } from "@auburnarch/types/EntryId";

/** Liveness of one entry, as gossiped between entries. */
export interface Heartbeat {
    entry: EntryId;
    /** Wall time of the entry's start, raised if peers know an earlier run with a higher value. */
    generation: number;
    /** Incremented with each exchange that the entry starts. */
    counter: number;
    /** The entry accepts no new work. */
    leaving?: boolean;
    /** The entry has not answered since `counter`. A higher counter from any sender refutes this. */
    suspected?: boolean;
}
