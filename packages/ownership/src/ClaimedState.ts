import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { Checkpoint } from "./Checkpoint.js";
import type { StepDocument } from "./StepDocument.js";

/** A job's durable state as read by a new owner. */
export interface ClaimedState {
    weights: PublishedWeights | undefined;
    checkpoint: Checkpoint;
    steps: StepDocument[];
    /** Numbers of all steps that have objects, including those that were only partly written or removed. */
    storedSteps: number[];
}
