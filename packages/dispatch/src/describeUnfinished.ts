import { countTokens } from "./countTokens.js";
import type { DispatchState } from "./DispatchState.js";
import type { RunningAttempt } from "./RunningAttempt.js";
import type { SampleWork } from "./SampleWork.js";
import type { UnfinishedSample } from "./UnfinishedSample.js";

const generatedTokens = (attempt: RunningAttempt): number =>
    countTokens(attempt.resumedSpans) + attempt.tokens;

/** Describes an unfinished sample; of several attempts, by the one that has generated the most. */
export function describeUnfinished(
    { lengthModel }: Pick<DispatchState, "lengthModel">,
    { task, resume, running }: SampleWork,
): UnfinishedSample {
    const [longest] = [...running].sort((a, b) => generatedTokens(b) - generatedTokens(a));
    const generated = longest === undefined ? countTokens(resume) : generatedTokens(longest);
    return {
        sample: task.sample,
        remainingTokens: lengthModel.expectRemaining(task.prompt, generated, task.maxTokens),
        sampler: longest?.sampler,
    };
}
