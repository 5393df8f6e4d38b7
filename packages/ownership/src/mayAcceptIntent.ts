import type { AuthorityState } from "./AuthorityState.js";

/**
 * Whether an owner may accept new steps and weights: only within its lease, since the object API doesn't fence new
 * steps.
 */
export function mayAcceptIntent(state: AuthorityState): boolean {
    return state.isLeaseHeld && !state.isLeaseLost && !state.isFenced;
}
