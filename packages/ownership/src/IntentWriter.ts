import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { StepSpec } from "@auburnarch/types/StepSpec";

/** Takes new intent of a trainer; each call resolves once it is durable. */
export interface IntentWriter {
    openStep(spec: StepSpec): Promise<void>;
    publishWeights(weights: PublishedWeights): Promise<void>;
}
