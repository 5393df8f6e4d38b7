import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerView } from "@auburnarch/types/SamplerView";

/** Rolls out published weights to the samplers of a policy. */
export interface SwapRoller {
    /** Starts the rollout of a version if it is higher than the last one; samplers swap as their turn comes. */
    publish(weights: PublishedWeights): void;
    /** Plans immediately instead of at the next tick; for a sampler that has just joined or become free. */
    planNow(): void;
    /** Samplers that are not known to serve the last published version yet. */
    pending(): SamplerId[];
    /** True if the sampler has been ordered to swap or is the next to be ordered. */
    isAboutToSwap(sampler: SamplerId): boolean;
    /**
     * Returns the view with its version marked as unknown while an unanswered order may still change it. This matters
     * if the engine does not state versions: its sidecar may have read the version before the load took effect.
     */
    maskUncertainVersion(view: SamplerView): SamplerView;
    /** Sends no further orders; running ones are left to finish. */
    stop(): void;
}
