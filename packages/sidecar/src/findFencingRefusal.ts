import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { SamplerOrder } from "@auburnarch/types/SamplerOrder";
import type { SidecarContext } from "./SidecarContext.js";

/** Refuses an order of an owner that has been replaced; undefined lets it pass. */
export function findFencingRefusal(context: SidecarContext, order: SamplerOrder): ResultCode | undefined {
    const passes = context.guards.fencing(context.fencing.highest(order.scope), order.order.fencing);
    return passes ? undefined : resultCodes.fenced;
}
