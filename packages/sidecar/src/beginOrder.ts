import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { SamplerOrder } from "@auburnarch/types/SamplerOrder";
import { findFencingRefusal } from "./findFencingRefusal.js";
import type { SidecarContext } from "./SidecarContext.js";

/** The last check, directly before the effect: number and process may have changed since the order was admitted. */
export function beginOrder(context: SidecarContext, order: SamplerOrder): ResultCode | undefined {
    if (context.flags.killed) {
        return resultCodes.shuttingDown;
    }
    const refusal = findFencingRefusal(context, order);
    if (refusal === undefined) {
        const highest = context.fencing.highest(order.scope);
        const { fencing } = order.order;
        const isForward = highest === undefined || fencing >= highest;
        context.deps.invariants.check(resultCodes.fencingWentBack, isForward, {
            job: order.scope,
            fencing,
            highest,
        });
        context.fencing.raise(order.scope, fencing);
    }
    return refusal;
}
