import type { AuthorityState } from "./AuthorityState.js";

/** A probe without answer speaks for this long; the next is sent every second. */
const unansweredProbeValidMs = 3_000;

/**
 * Whether an owner may start and deliver samples, the effects that their destinations fence: sidecars and trainers
 * refuse a lower number. Within the lease it may. Past it, it may only while the object API is known to be silent
 * right now: then nobody can take the lease over either, or if somebody did, the destinations refuse us.
 *
 * An owner that wakes from a pause finds its last proof of silence too old, and does nothing before a fresh probe has
 * told it which of the two it is.
 */
export function mayRun(state: AuthorityState): boolean {
    if (state.isLeaseLost || state.isFenced) {
        return false;
    }
    if (state.isLeaseHeld) {
        return true;
    }
    return state.unansweredProbeAgeMs !== undefined && state.unansweredProbeAgeMs <= unansweredProbeValidMs;
}
