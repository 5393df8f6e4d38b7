import type { DispatchState } from "./DispatchState.js";
import type { RunningAttempt } from "./RunningAttempt.js";

/** An attempt is looked at for a move once it has outgrown its expected length by this factor. */
const outgrownFactor = 1.5;

/** Running attempts that have turned out to be stragglers. */
export function findMovable(state: DispatchState): RunningAttempt[] {
    return [...state.attempts].filter(attempt =>
        attempt.endCause === undefined
        && attempt.work.running.size === 1
        && attempt.tokens > outgrownFactor * attempt.expectedTokens
    );
}
