import { countTokens } from "./countTokens.js";
import type { DispatchState } from "./DispatchState.js";
import type { SampleWork } from "./SampleWork.js";

/** Factor on the expected run time, which is exceeded often enough to plan for it. */
const runTimeMargin = 1.5;

/** Updates the expected length and the latest start time of a waiting sample. */
export function updateEstimates(
    state: DispatchState,
    work: SampleWork,
    oldestStep: number,
    nowMs: number,
): void {
    const { task } = work;
    work.expectedTokens = state.lengthModel.expectRemaining(
        task.prompt,
        countTokens(work.resume),
        task.maxTokens,
    );
    const needAtMs = state.needForecast.needAtMs(task.step, task.needAtMs, oldestStep, nowMs);
    const runMs = work.expectedTokens / state.samplerStats.meanTokensPerSecond() * 1000;
    work.latestStartMs = needAtMs - runTimeMargin * runMs;
}
