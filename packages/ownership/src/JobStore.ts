import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { Checkpoint } from "./Checkpoint.js";
import type { ClaimedState } from "./ClaimedState.js";
import type { StepDocument } from "./StepDocument.js";

/**
 * A job's durable state in the object API, accessed under one fencing number. Calls reject with `storeUnavailable`
 * (a write may have taken effect), `storeThrottled` (nothing was written) or `fenced` (a newer owner has claimed
 * the state).
 */
export interface JobStore {
    /** Claims weights and checkpoint for this owner, then reads them and all open steps. */
    claim(): Promise<ClaimedState>;
    /** Writes a step unless it exists; resolves with the stored step. */
    createStep(document: StepDocument): Promise<StepDocument>;
    readStep(step: number): Promise<StepDocument | undefined>;
    removeStep(step: number): Promise<void>;
    /** Writes the weights unless an equal or higher version is stored; resolves with the stored weights. */
    writeWeights(weights: PublishedWeights): Promise<PublishedWeights>;
    writeCheckpoint(checkpoint: Checkpoint): Promise<void>;
}
