import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { Checkpoint } from "./Checkpoint.js";
import type { StepDocument } from "./StepDocument.js";

/** A job's durable state as a new owner found it. */
export interface ClaimedState {
    weights: PublishedWeights | undefined;
    checkpoint: Checkpoint;
    steps: StepDocument[];
    /** Numbers of all steps that have objects, also of those whose opening or removal stopped half way. */
    storedSteps: number[];
}
