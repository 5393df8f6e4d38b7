import type { DispatchState } from "./DispatchState.js";
import type { RunningAttempt } from "./RunningAttempt.js";

/** Running attempts that the policy considers for a move. */
export function findMovable(state: DispatchState): RunningAttempt[] {
    return [...state.attempts].filter(attempt =>
        attempt.endCause === undefined
        && attempt.work.running.size === 1
        && state.policy.movable(attempt)
    );
}
