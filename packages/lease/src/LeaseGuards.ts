/** The two time checks that together ensure a single holder of a lease. Tests and the fault bench replace them. */
export interface LeaseGuards {
    /** On the holder: whether the lease is still valid `ageMs` after the last confirmed renewal was sent. */
    isWithinLease(ageMs: number, ttlMs: number): boolean;
    /** On an observer: how long the lease must have been unchanged before it may be taken over. */
    takeOverAfterMs(ttlMs: number): number;
}
