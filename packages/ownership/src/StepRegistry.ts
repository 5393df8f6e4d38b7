import type { CursorState } from "@auburnarch/cursors/CursorState";
import type { OpenStep } from "./OpenStep.js";
import type { StepDocument } from "./StepDocument.js";

/** Opens and completes the steps of a job. */
export interface StepRegistry {
    /** Takes a durable step in, with the groups that were kept of it, and has the rest made. */
    open(document: StepDocument, furthest?: CursorState): Promise<OpenStep>;
    /** The open step, looked up in the object API if this owner does not know it. */
    find(step: number): Promise<OpenStep | undefined>;
    /** Notes what a trainer has; completes the step if that is all of it. */
    acknowledge(step: OpenStep, cursor: CursorState, groups: number[]): void;
    /** Removes the objects of steps that are over according to a durable checkpoint. */
    removeFinished(steps: readonly number[]): Promise<void>;
}
