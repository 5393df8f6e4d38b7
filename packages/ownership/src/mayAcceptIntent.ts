import type { AuthorityState } from "./AuthorityState.js";

/** Whether an owner may accept new steps and weights: only within its lease, as the object API does not fence a new step. */
export function mayAcceptIntent(state: AuthorityState): boolean {
    return state.isLeaseHeld && !state.isLeaseLost && !state.isFenced;
}
