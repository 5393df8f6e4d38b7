/** Calls an object store received, by kind; a waiting watch counts as one. */
export interface StoreCallCounts {
    read: number;
    list: number;
    write: number;
    remove: number;
    watch: number;
    /** Calls of any kind refused for their rate; counted above as well. */
    throttled: number;
}
