import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** What is known when swaps are planned. */
export interface SwapPlanInput {
    policy: PolicyId;
    target: WeightVersion;
    /** Oldest version that samples may still come from. */
    minVersion: WeightVersion;
    views: SamplerView[];
    /** Samplers with an order of ours under way. */
    ordered: ReadonlySet<SamplerId>;
    /** Samplers not to be ordered yet after a failure. */
    backingOff: ReadonlySet<SamplerId>;
    /** At most this part of the samplers that serve the policy swaps at once. */
    maxSwappingRatio: number;
    /** Downloads the weight store takes at once. */
    maxDownloads: number;
}
