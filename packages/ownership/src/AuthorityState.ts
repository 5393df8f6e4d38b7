/** What an owner knows of its right to act. */
export interface AuthorityState {
    /** Another holder was seen in the lease object. */
    isLeaseLost: boolean;
    /** A sidecar, a cursor or a stored object showed a higher fencing number. */
    isFenced: boolean;
    /** The lease is within its time by this process's own clock. */
    isLeaseHeld: boolean;
    /** How long ago a probe of the lease object was sent that got no answer; undefined after an answer. */
    unansweredProbeAgeMs: number | undefined;
}
