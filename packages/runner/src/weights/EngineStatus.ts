import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** What a sampler says of its engine, as of some hundred milliseconds ago. */
export interface EngineStatus {
    served: { policy: PolicyId; version: WeightVersion; }[];
    /** An order is being carried out. */
    isBusy: boolean;
    /** Orders accepted since its start; an order may name the count it expects. */
    orders: number;
    /** Wall time of the start that this is about; undefined where the sampler does not say. */
    bornAtMs: number | undefined;
}
