import type { EngineOrder } from "./EngineOrder.js";
import type { JobId } from "./JobId.js";

/** An order from an owner to a sidecar. `scope` names the lease whose fencing number applies. */
export interface SamplerOrder {
    scope: JobId;
    order: EngineOrder;
}
