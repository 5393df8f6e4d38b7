/** Marks a write, so that its writer recognises it when it reads back after a lost answer. */
export interface WriteStamp {
    /** Unique to one run of one writer. */
    writer: string;
    sequence: number;
}
