import { resultCodes } from "@auburnarch/errors/resultCodes";
import { servedVersion } from "@auburnarch/selection/servedVersion";
import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerOrderResult } from "@auburnarch/types/SamplerOrderResult";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { createDownloadLimit } from "./createDownloadLimit.js";
import { createOrderReports } from "./createOrderReports.js";
import { createSwapBackoff } from "./createSwapBackoff.js";
import { createUncertainOrders } from "./createUncertainOrders.js";
import { planSwaps } from "./planSwaps.js";
import type { SwapPlan } from "./SwapPlan.js";
import type { SwapRoller } from "./SwapRoller.js";
import type { SwapRollerDeps } from "./SwapRollerDeps.js";

const tickMs = 250;
const anyVersion = 0 as WeightVersion;

/**
 * Creates the swap roller of one policy. It plans every 250 ms and after each finished order. A failed order is
 * retried after a backoff; a refusal by the weight store lowers the limit of concurrent downloads.
 */
export function createSwapRoller(deps: SwapRollerDeps): SwapRoller {
    const { clock, logger, metrics } = deps;
    const plan = deps.plan ?? planSwaps;
    const ordered = new Set<SamplerId>();
    const backoff = createSwapBackoff(clock, deps.random);
    const downloads = createDownloadLimit();
    const orderReports = createOrderReports(clock);
    const uncertainOrders = createUncertainOrders(deps.policy);
    let target: PublishedWeights | undefined;
    let lastPlan: SwapPlan = { orders: [], waiting: [] };
    let isStopped = false;
    let cancelTick = (): void => {};

    const listViews = (): SamplerView[] =>
        deps.listSamplers().map(orderReports.withLatestReport).map(uncertainOrders.maskUncertainVersion);

    function handleResult(sampler: SamplerId, version: WeightVersion, result: SamplerOrderResult): void {
        const fields = { job: deps.job, policy: deps.policy, sampler, version };
        metrics.count("swap_orders_total", { policy: deps.policy, result: result.kind });
        uncertainOrders.record(sampler, version, result);
        if (result.kind !== "unknown") {
            orderReports.record(result.report);
        }
        if (result.kind === "done") {
            logger.info("swapDone", fields);
            backoff.recordSuccess(sampler);
            downloads.recordCompletion();
            return;
        }
        const { number, name } = result.code;
        logger.warn("swapFailed", { ...fields, result: result.kind, code: number, name });
        backoff.recordFailure(sampler);
        if (number === resultCodes.weightStoreThrottled.number) {
            downloads.recordRefusal(ordered.size);
        }
    }

    async function orderSwap(sampler: SamplerId, reason: string, weights: PublishedWeights): Promise<void> {
        ordered.add(sampler);
        logger.info("swapOrdered", {
            job: deps.job,
            policy: deps.policy,
            sampler,
            version: weights.version,
            reason,
            out: ordered.size,
            waiting: lastPlan.waiting.length,
        });
        const { policy, version, location } = weights;
        const load = { kind: "load" as const, policy, version, location, fencing: deps.fencing };
        const result = await deps.sidecar(sampler)
            .order({ scope: deps.job, order: load })
            .catch((): SamplerOrderResult => ({ kind: "unknown", code: resultCodes.sidecarUnreachable }));
        ordered.delete(sampler);
        handleResult(sampler, version, result);
        planNow();
    }

    function planNow(): void {
        const weights = target;
        if (isStopped || weights === undefined || !deps.mayAct()) {
            return;
        }
        lastPlan = plan({
            policy: deps.policy,
            target: weights.version,
            minVersion: deps.minVersion?.() ?? anyVersion,
            views: listViews(),
            ordered,
            backingOff: backoff.pausedSamplers(),
            maxSwappingRatio: deps.limits().maxSwappingRatio,
            maxDownloads: downloads.current(),
        });
        for (const { sampler, reason } of lastPlan.orders) {
            void orderSwap(sampler, reason, weights);
        }
    }

    function tick(): void {
        if (!isStopped) {
            planNow();
            cancelTick = clock.startTimer(tickMs, tick);
        }
    }

    return {
        publish: weights => {
            if (target !== undefined && weights.version <= target.version) {
                return;
            }
            cancelTick();
            target = weights;
            tick();
        },
        planNow,
        pending: () =>
            listViews()
                .filter(view => (servedVersion(view, deps.policy) ?? -1) < (target?.version ?? -1))
                .map(view => view.report.sampler),
        maskUncertainVersion: uncertainOrders.maskUncertainVersion,
        isAboutToSwap: sampler => ordered.has(sampler) || lastPlan.waiting[0] === sampler,
        stop: () => {
            isStopped = true;
            cancelTick();
        },
    };
}
