import type { CursorCodec } from "@auburnarch/cursors/CursorCodec";
import type { ClaimedState } from "./ClaimedState.js";
import type { JobState } from "./JobState.js";
import type { StepRegistry } from "./StepRegistry.js";

interface ResumeStepsDeps {
    claimed: ClaimedState;
    state: JobState;
    codec: CursorCodec;
    steps: StepRegistry;
}

/** Reopens the previous owner's steps, each at its checkpointed cursor, and removes the objects of finished ones. */
export async function resumeSteps(deps: ResumeStepsDeps): Promise<void> {
    const { claimed, state, codec, steps } = deps;
    const cursors = new Map(claimed.checkpoint.cursors.map(({ step, cursor }) => [step, cursor]));
    const isFinished = (step: number): boolean => state.completed.has(step) || step < state.retiredBelow;
    void steps.removeFinished(claimed.storedSteps);
    const open = claimed.steps.filter(document => !isFinished(document.step));
    await Promise.all(open.map(document => {
        const cursor = cursors.get(document.step);
        const furthest = cursor === undefined
            ? undefined
            : codec.decode(cursor, state.job.job, document.step);
        return steps.open(document, furthest);
    }));
}
