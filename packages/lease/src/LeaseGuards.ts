/** The two judgements of time that keep a lease with one holder at a time. */
export interface LeaseGuards {
    /** Holder's side: whether it still holds, `ageMs` after the last confirmed renewal was sent. */
    isWithinLease(ageMs: number, ttlMs: number): boolean;
    /** Observer's side: how long it must have seen no change before it may take over. */
    takeOverAfterMs(ttlMs: number): number;
}
