import type { ActingState } from "./ActingState.js";

/** Whether an owner may accept new steps and weights: only within its lease, as the object API does not fence a new step. */
export function mayTakeIntent(state: ActingState): boolean {
    return state.isLeaseHeld && !state.isLeaseLost && !state.isFencedOff;
}
