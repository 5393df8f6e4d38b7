import type { AuthorityState } from "./AuthorityState.js";

/** Time that an unanswered probe counts as evidence; probes are sent every second. */
const unansweredProbeValidMs = 3_000;

/**
 * Whether an owner may start and deliver samples. These effects are fenced at their destination: sidecars and
 * trainers refuse a lower fencing number. Within the lease the owner may act. After it has expired, it may act only
 * while the object API is known to be unreachable: then no other owner can acquire the lease, and if one already
 * has, the destinations refuse this owner.
 *
 * After a pause of the process the last unanswered probe is too old to count, so the owner does nothing until a new
 * probe has shown whether the object API is unreachable or the lease has another holder.
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
