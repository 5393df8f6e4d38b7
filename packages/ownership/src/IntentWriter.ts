import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { StepSpec } from "@auburnarch/types/StepSpec";

/** Accepts a trainer's intent (new steps and weights); each call resolves once it is durable. */
export interface IntentWriter {
    openStep(spec: StepSpec): Promise<void>;
    publishWeights(weights: PublishedWeights): Promise<void>;
}
