/** The checks that let a non-idempotent request run at most once. */
export interface KeyRangeGuards {
    /** Whether a range may take new keys, given whether its lease is held by the owner's own clock. */
    mayAccept(isHeld: boolean): boolean;
    /** Whether a key was minted too late for an earlier owner to have run it. */
    isAfterTakeover(mintedAtMs: number, takenOverAtMs: number, skewMs: number): boolean;
    /** Whether the owner would still remember a key of that age. */
    isRemembered(mintedAtMs: number, nowMs: number, windowMs: number): boolean;
    /** Whether a key that was found in memory counts as seen. */
    isSeen(isFound: boolean): boolean;
}
