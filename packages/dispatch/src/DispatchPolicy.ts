import type { SamplerPicker } from "@auburnarch/pick/SamplerPicker";
import type { WorkOrder } from "@auburnarch/queue/WorkOrder";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { LengthModel } from "./LengthModel.js";
import type { PriorityRule } from "./PriorityRule.js";

/** The rules of a dispatcher. Each is a pure function, so that the bench can replace one at a time. */
export interface DispatchPolicy {
    name: string;
    /** Which waiting sample goes first. */
    order: WorkOrder;
    /** Where it goes. */
    pick: SamplerPicker;
    /** Attempts of this dispatcher that may be outstanding at a sampler; the rest waits here. */
    outstandingLimit: (view: SamplerView) => number;
    /** Priority at the engine, 0 to 99. */
    priority: PriorityRule;
    createLengthModel: () => LengthModel;
}
