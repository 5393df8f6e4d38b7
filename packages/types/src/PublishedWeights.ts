import type { PolicyId } from "./PolicyId.js";
import type { WeightVersion } from "./WeightVersion.js";

/** A version of a policy's weights that a trainer has published. */
export interface PublishedWeights {
    policy: PolicyId;
    version: WeightVersion;
    location: string;
}
