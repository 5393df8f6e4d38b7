import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** A sampler's report of its engine, some hundred milliseconds old. */
export interface EngineStatus {
    served: { policy: PolicyId; version: WeightVersion; }[];
    /** Whether an order is in progress. */
    isBusy: boolean;
    /** Number of orders accepted since its start; an order may state the number it expects. */
    orders: number;
    /**
     * Wall-clock time of the sampler start that this report refers to; undefined if the sampler does not report it.
     */
    bornAtMs: number | undefined;
}
