import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import { describeStep } from "./describeStep.js";
import type { JobState } from "./JobState.js";
import type { OwnerStatus } from "./OwnerStatus.js";

/** Returns an owner's status; the delivered totals sum up completed steps and the furthest cursors of open ones. */
export function describeOwner(
    state: JobState,
    fencing: FencingNumber,
    runningOfStep: (step: number) => number,
): OwnerStatus {
    const steps = [...state.steps.values()];
    return {
        job: state.job.job,
        fencing,
        publishedVersion: state.publishedVersion,
        steps: steps.map(step => describeStep(step, runningOfStep(step.document.step))),
        deliveredEngineMs: steps.reduce(
            (sum, step) => sum + step.furthestCursor.engineMs,
            state.completedEngineMs,
        ),
        deliveredSamples: steps.reduce(
            (sum, step) => sum + step.furthestCursor.samples,
            state.completedSamples,
        ),
        deliveredTokens: steps.reduce((sum, step) => sum + step.furthestCursor.tokens, state.completedTokens),
        discardedEngineMs: state.discardedEngineMs,
    };
}
