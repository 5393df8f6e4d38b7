import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** State from which swaps are planned. */
export interface SwapPlanInput {
    policy: PolicyId;
    target: WeightVersion;
    /** Oldest version that may still generate samples. */
    minVersion: WeightVersion;
    views: SamplerView[];
    /** Samplers with an unfinished order from this process. */
    ordered: ReadonlySet<SamplerId>;
    /** Samplers that are in backoff after a failed order. */
    backingOff: ReadonlySet<SamplerId>;
    /** Maximum part of the policy's samplers that swap at the same time. */
    maxSwappingRatio: number;
    /** Maximum number of concurrent downloads from the weight store. */
    maxDownloads: number;
}
