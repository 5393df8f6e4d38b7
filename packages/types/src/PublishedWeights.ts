import type { PolicyId } from "./PolicyId.js";
import type { WeightVersion } from "./WeightVersion.js";

/** A weight version that a trainer has published. */
export interface PublishedWeights {
    policy: PolicyId;
    version: WeightVersion;
    location: string;
}
