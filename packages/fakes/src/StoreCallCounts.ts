/** Calls received by an object store, by kind; a waiting watch counts as one call. */
export interface StoreCallCounts {
    read: number;
    list: number;
    write: number;
    remove: number;
    watch: number;
    /** Calls of any kind refused by the rate limit; also included in the other counts. */
    throttled: number;
}
