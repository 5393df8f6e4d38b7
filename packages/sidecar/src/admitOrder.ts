import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { SamplerOrder } from "@auburnarch/types/SamplerOrder";
import { findFencingRefusal } from "./findFencingRefusal.js";
import type { SidecarContext } from "./SidecarContext.js";

/** The checks before an order is begun: shutdown, fencing number learned, not lower. Undefined lets it pass. */
export async function admitOrder(
    context: SidecarContext,
    order: SamplerOrder,
): Promise<ResultCode | undefined> {
    const { flags, guards, fencing } = context;
    if (flags.killed || !guards.shuttingDown(flags.shuttingDown)) {
        return resultCodes.shuttingDown;
    }
    // A number exists only because its holder was given the lease, so that an order tells it whether or not it is
    // carried out. Without this, an order of the present owner that came too early was forgotten, the number then read
    // from a replica that lagged, and an older owner's order carried out.
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
