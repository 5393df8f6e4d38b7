/** The checks that make a non-idempotent request run at most once. */
export interface KeyRangeGuards {
    /** Whether a range may accept new keys, given whether its lease is held according to the owner's clock. */
    mayAccept(isHeld: boolean): boolean;
    /** Whether a key was created too late for an earlier owner to have run it. */
    isAfterTakeover(createdAtMs: number, takenOverAtMs: number, skewMs: number): boolean;
    /** Whether a key is recent enough that the owner would still have a record of it. */
    isRemembered(createdAtMs: number, nowMs: number, windowMs: number): boolean;
    /** Whether a key with a record counts as seen. */
    isSeen(isFound: boolean): boolean;
}
