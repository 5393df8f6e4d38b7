import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** What a picker needs to know of one attempt. */
export interface PickRequest {
    policy: PolicyId;
    minVersion: WeightVersion;
    digest: ContentDigest;
    promptTokens: number;
    /** Tokens still to be generated, by prediction. */
    expectedTokens: number;
    /** Monotonic time at which the trainer needs the sample. */
    needAtMs: number;
    nowMs: number;
    /** True if the digest was in flight when an engine died and is not cleared. */
    suspect: boolean;
    /** Samplers that failed this sample before. */
    avoid: ReadonlySet<SamplerId>;
}
