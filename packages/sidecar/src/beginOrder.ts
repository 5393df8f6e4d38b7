import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { SamplerOrder } from "@auburnarch/types/SamplerOrder";
import { findFencingRefusal } from "./findFencingRefusal.js";
import type { SidecarContext } from "./SidecarContext.js";

/**
 * Repeats the last checks directly before an order takes effect, as the fencing number and the process may have changed
 * since it was admitted. Records the order's fencing number if it passes.
 */
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
