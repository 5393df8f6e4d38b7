import type { CursorState } from "@auburnarch/cursors/CursorState";
import type { OpenStep } from "./OpenStep.js";
import type { StepDocument } from "./StepDocument.js";

/** Opens, looks up and completes the steps of a job. */
export interface StepRegistry {
    /** Registers a durable step, restores its stored groups and requests the missing ones. */
    open(document: StepDocument, furthest?: CursorState): Promise<OpenStep>;
    /** Returns the open step; one that this owner doesn't know is read from the object API. */
    find(step: number): Promise<OpenStep | undefined>;
    /** Records the groups that a trainer acknowledged; completes the step if it has them all. */
    acknowledge(step: OpenStep, cursor: CursorState, groups: number[]): void;
    /** Removes the objects of steps that a durable checkpoint lists as finished. */
    removeFinished(steps: readonly number[]): Promise<void>;
}
