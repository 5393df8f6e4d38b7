import type { DispatchState } from "./DispatchState.js";

/** The oldest step with unfinished samples; 0 if there are none. */
export function oldestStep(state: DispatchState): number {
    let oldest = Infinity;
    for (const work of state.unfinished.values()) {
        oldest = Math.min(oldest, work.task.step);
    }
    return Number.isFinite(oldest) ? oldest : 0;
}
