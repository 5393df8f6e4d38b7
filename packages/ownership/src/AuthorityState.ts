/** The facts that decide whether an owner may act. */
export interface AuthorityState {
    /** The lease object was seen with another holder. */
    isLeaseLost: boolean;
    /** A sidecar, a cursor or a stored object carried a higher fencing number. */
    isFenced: boolean;
    /** The lease has not expired by this process's own clock. */
    isLeaseHeld: boolean;
    /** Time since the last unanswered probe of the lease object was sent; undefined after an answer. */
    unansweredProbeAgeMs: number | undefined;
}
