import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { SamplerOrder } from "@auburnarch/types/SamplerOrder";
import { findFencingRefusal } from "./findFencingRefusal.js";
import type { SidecarContext } from "./SidecarContext.js";

/**
 * Checks an order before it begins: the sidecar is not shutting down, the job's fencing number has been read, and the
 * order's is not lower. Undefined lets it pass.
 */
export async function admitOrder(
    context: SidecarContext,
    order: SamplerOrder,
): Promise<ResultCode | undefined> {
    const { flags, guards, fencing } = context;
    if (flags.killed || !guards.shuttingDown(flags.shuttingDown)) {
        return resultCodes.shuttingDown;
    }
    // A fencing number exists only because its holder was granted the lease, so it is recorded even if the order is
    // refused. Otherwise, once an early order of the current owner was refused and a lagging replica then returned an
    // older number, an order of the older owner would be executed.
    fencing.raise(order.scope, order.order.fencing);
    try {
        await fencing.learn(order.scope);
    }
    catch (error) {
        context.deps.logger.warn("fencingUnknown", { job: order.scope, code: codeOf(error).number });
    }
    if (!guards.fencingLearned(fencing.isLearned(order.scope))) {
        return resultCodes.storeUnavailable;
    }
    return findFencingRefusal(context, order);
}
