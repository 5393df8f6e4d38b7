import { countTokens } from "./countTokens.js";
import type { DispatchState } from "./DispatchState.js";
import type { SampleWork } from "./SampleWork.js";

/** Part by which the expected run time is exceeded often enough to be planned for. */
const runTimeMargin = 1.5;

/** Brings the expected length and the latest start of a waiting sample up to date. */
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
