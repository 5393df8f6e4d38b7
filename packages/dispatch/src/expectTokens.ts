import type { DispatchState } from "./DispatchState.js";
import { groupKey } from "./groupKey.js";
import type { Work } from "./Work.js";

/** Tokens still expected of a sample that has `produced` so far, by the policy's way of predicting. */
export function expectTokens(state: DispatchState, work: Work, produced: number): number {
    const { task } = work;
    return state.policy.predictsLength
        ? state.lengths.expectRemaining(groupKey(task), produced, task.maxTokens)
        : Math.max(1, task.maxTokens - produced);
}
