import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerView } from "@auburnarch/types/SamplerView";

/** Rolls published weights over the samplers of a policy. */
export interface SwapRoller {
    /** Takes a version if it is higher than the last; rolls it as samplers become free for it. */
    publish(weights: PublishedWeights): void;
    /** Plans at once instead of at the next tick; for a sampler that has just joined or become free. */
    planNow(): void;
    /** Samplers that do not serve the last published version yet, as far as is known. */
    pending(): SamplerId[];
    /** True if the sampler is ordered or next in turn to be ordered to swap. */
    isAboutToSwap(sampler: SamplerId): boolean;
    /**
     * The view, with its version unknown while an order without an answer may still change it. That matters where the
     * engine does not state versions: its sidecar may have looked before the load took effect.
     */
    maskUncertainVersion(view: SamplerView): SamplerView;
    /** Orders nothing more; orders under way end by themselves. */
    stop(): void;
}
