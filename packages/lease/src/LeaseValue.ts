import type { WriteStamp } from "@auburnarch/store/WriteStamp";

/** Value of a lease's object. */
export interface LeaseValue {
    /** Undefined once released. */
    holder: string | undefined;
    /** Undefined in the write that acquires: the number is then the object's version. */
    fencing: number | undefined;
    ttlMs: number;
    stamp: WriteStamp;
}
