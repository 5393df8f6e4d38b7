import type { WriteStamp } from "@auburnarch/store/WriteStamp";

/** Value of a lease object in the object API. */
export interface LeaseValue {
    /** Undefined once released. */
    holder: string | undefined;
    /** Undefined in the write that acquires the lease: the fencing number is then the object's version. */
    fencing: number | undefined;
    ttlMs: number;
    /** True once the holder no longer waits for calls of an earlier one to be over. */
    isSettled?: boolean | undefined;
    stamp: WriteStamp;
}
