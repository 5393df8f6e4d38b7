/** Identifies a write, so that its writer recognises it when it reads the object after a lost response. */
export interface WriteStamp {
    /** Unique to one instance of one writer. */
    writer: string;
    sequence: number;
}
