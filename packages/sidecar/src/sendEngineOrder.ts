import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Clock } from "@auburnarch/types/Clock";
import type { EngineOrder } from "@auburnarch/types/EngineOrder";
import type { EnginePort } from "@auburnarch/types/EnginePort";
import type { Logger } from "@auburnarch/types/Logger";
import { match } from "ts-pattern";
import type { OrderOutcome } from "./OrderOutcome.js";
import { withTimeout } from "./withTimeout.js";

const orderTimeoutMs = 120_000;

/** Sends an order to the engine. After a missing or late answer, or a failure, it is unknown what the engine serves. */
export async function sendEngineOrder(
    deps: { clock: Clock; logger: Logger; },
    engine: EnginePort,
    order: EngineOrder,
): Promise<OrderOutcome> {
    const unknown: OrderOutcome = { kind: "unknown", code: resultCodes.engineUnreachable };
    try {
        const result = await withTimeout(deps.clock, orderTimeoutMs, engine.order(order));
        return match(result)
            .returnType<OrderOutcome>()
            .with({ kind: "done" }, () => ({ kind: "done" }))
            .with({ kind: "fenced" }, () => ({ kind: "refused", code: resultCodes.fenced }))
            .with({ kind: "failed" }, failed => {
                deps.logger.warn("orderFailed", { order: order.kind, detail: failed.detail });
                return unknown;
            })
            .exhaustive();
    }
    catch (error) {
        deps.logger.warn("orderUnanswered", { order: order.kind, code: codeOf(error).number });
        return unknown;
    }
}
