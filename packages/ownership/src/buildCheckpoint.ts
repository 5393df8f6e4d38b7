import type { CursorCodec } from "@auburnarch/cursors/CursorCodec";
import type { Checkpoint } from "./Checkpoint.js";
import type { JobState } from "./JobState.js";

/** Builds the checkpoint from a job's state. */
export function buildCheckpoint(state: JobState, codec: CursorCodec, fencing: number): Checkpoint {
    return {
        fencing,
        completed: [...state.completed].map(([step, digest]) => ({ step, digest })),
        retiredBelow: state.retiredBelow,
        deliveredEngineMs: state.completedEngineMs,
        deliveredSamples: state.completedSamples,
        deliveredTokens: state.completedTokens,
        discardedEngineMs: state.discardedEngineMs,
        cursors: [...state.steps.values()].map(step => ({
            step: step.document.step,
            cursor: codec.encode(step.furthestCursor),
        })),
    };
}
