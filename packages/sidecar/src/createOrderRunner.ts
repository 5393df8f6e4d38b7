import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { EngineOrder } from "@auburnarch/types/EngineOrder";
import type { EnginePort } from "@auburnarch/types/EnginePort";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { SamplerOrder } from "@auburnarch/types/SamplerOrder";
import type { SamplerOrderResult } from "@auburnarch/types/SamplerOrderResult";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import { match } from "ts-pattern";
import { admitOrder } from "./admitOrder.js";
import { beginOrder } from "./beginOrder.js";
import { drainPolicy } from "./drainPolicy.js";
import { findFencingRefusal } from "./findFencingRefusal.js";
import type { OrderOutcome } from "./OrderOutcome.js";
import { sendEngineOrder } from "./sendEngineOrder.js";
import type { ServedWeights } from "./ServedWeights.js";
import type { SidecarContext } from "./SidecarContext.js";

type LoadOrder = Extract<EngineOrder, { kind: "load"; }>;

const refused = (code: ResultCode): OrderOutcome => ({ kind: "refused", code });

/** Creates `order` of a sidecar. Orders are executed one after the other. */
export function createOrderRunner(
    context: SidecarContext,
    engine: EnginePort,
    weights: ServedWeights,
    report: () => SamplerReport,
): (order: SamplerOrder) => Promise<SamplerOrderResult> {
    const { logger } = context.deps;
    let last: Promise<unknown> = Promise.resolve();

    async function findEngineRefusal(): Promise<ResultCode | undefined> {
        if (weights.state() !== "ready") {
            await weights.describe();
        }
        if (weights.state() === "ready") {
            return undefined;
        }
        return weights.state() === "engineDown" ? resultCodes.engineDown : resultCodes.notReady;
    }

    async function execute(order: SamplerOrder): Promise<OrderOutcome> {
        const refusal = await admitOrder(context, order) ?? await findEngineRefusal();
        if (refusal !== undefined) {
            return refused(refusal);
        }
        return match(order.order)
            .with({ kind: "load" }, load => runLoad(order, load))
            .with({ kind: "unload" }, { kind: "setRole" }, () => runSimple(order))
            .exhaustive();
    }

    async function runSimple(order: SamplerOrder): Promise<OrderOutcome> {
        const refusal = beginOrder(context, order);
        if (refusal !== undefined) {
            return refused(refusal);
        }
        const result = await sendEngineOrder(context.deps, engine, order.order);
        if (result.kind !== "refused") {
            // What the engine serves has changed, or may have.
            weights.markUnknown(order.order.kind);
            await weights.describe();
        }
        return result;
    }

    async function runLoad(order: SamplerOrder, load: LoadOrder): Promise<OrderOutcome> {
        const served = weights.versionOf(load.policy);
        if (!context.guards.orderForward(served, load.version)) {
            return refused(resultCodes.staleWeights);
        }
        if (served === load.version) {
            context.fencing.raise(order.scope, load.fencing);
            return { kind: "done" };
        }
        try {
            await context.deps.weightStore(load.policy, load.version, load.location);
        }
        catch (error) {
            return refused(codeOf(error));
        }
        // The download may have taken long; the owner and the engine may have changed meanwhile.
        const lateRefusal = findFencingRefusal(context, order) ?? await findEngineRefusal();
        return lateRefusal === undefined ? swap(order, load) : refused(lateRefusal);
    }

    async function swap(order: SamplerOrder, load: LoadOrder): Promise<OrderOutcome> {
        weights.beginSwap(load.policy, load.version);
        if (weights.stampsChunks() !== true) {
            context.slots.pausePolicy(load.policy);
            await drainPolicy(context, load.policy);
        }
        const refusal = beginOrder(context, order);
        const result = refusal === undefined
            ? await sendEngineOrder(context.deps, engine, order.order)
            : refused(refusal);
        await settle(result);
        context.slots.resumePolicy(load.policy);
        return result;
    }

    async function settle(result: OrderOutcome): Promise<void> {
        // The engine may have crashed or contradicted its described version meanwhile; that state is kept.
        if (weights.state() === "swapping") {
            if (result.kind === "unknown") {
                weights.markUnknown("swapUncertain");
            }
            else {
                weights.endSwap(result.kind === "done");
            }
        }
        await weights.describe();
    }

    async function runLogged(order: SamplerOrder): Promise<SamplerOrderResult> {
        const result = await execute(order);
        logger.info("orderEnded", {
            job: order.scope,
            order: order.order.kind,
            version: order.order.kind === "load" ? order.order.version : undefined,
            fencing: order.order.fencing,
            result: result.kind,
            code: result.kind === "done" ? undefined : result.code.number,
            state: weights.state(),
        });
        return result.kind === "unknown" ? result : { ...result, report: report() };
    }

    return order => {
        const run = last.then(() => runLogged(order));
        last = run.catch(() => undefined);
        return run;
    };
}
