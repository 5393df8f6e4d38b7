import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** Input of a picker for one attempt. */
export interface PickRequest {
    policy: PolicyId;
    minVersion: WeightVersion;
    digest: ContentDigest;
    promptTokens: number;
    /** Predicted number of tokens still to be generated. */
    expectedTokens: number;
    /** Monotonic time at which the trainer needs the sample. */
    needAtMs: number;
    nowMs: number;
    /**
     * True if a request with this content digest was running when an engine crashed and the digest is not cleared.
     */
    suspect: boolean;
    /** Samplers on which earlier attempts of this sample failed. */
    avoid: ReadonlySet<SamplerId>;
}
