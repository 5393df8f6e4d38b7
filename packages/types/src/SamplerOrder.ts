import type { EngineOrder } from "./EngineOrder.js";
import type { JobId } from "./JobId.js";

/** An order from an owner to a sidecar. `scope` names the lease whose number fences it. */
export interface SamplerOrder {
    scope: JobId;
    order: EngineOrder;
}
