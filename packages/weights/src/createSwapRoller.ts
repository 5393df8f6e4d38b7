import { resultCodes } from "@auburnarch/errors/resultCodes";
import { servedVersion } from "@auburnarch/selection/servedVersion";
import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerOrderResult } from "@auburnarch/types/SamplerOrderResult";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { createAnsweredReports } from "./createAnsweredReports.js";
import { createDownloadLimit } from "./createDownloadLimit.js";
import { createOrderDoubts } from "./createOrderDoubts.js";
import { createSwapBackoff } from "./createSwapBackoff.js";
import { planSwaps } from "./planSwaps.js";
import type { SwapPlan } from "./SwapPlan.js";
import type { SwapRoller } from "./SwapRoller.js";
import type { SwapRollerDeps } from "./SwapRollerDeps.js";

const tickMs = 250;
const anyVersion = 0 as WeightVersion;

/**
 * Makes the swap roller of one policy. It plans every 250 ms and after each finished order. A failed order is
 * repeated after a backoff; a refusal by the weight store lowers the number of downloads at once.
 */
export function createSwapRoller(deps: SwapRollerDeps): SwapRoller {
    const { clock, logger, metrics } = deps;
    const plan = deps.plan ?? planSwaps;
    const ordered = new Set<SamplerId>();
    const backoff = createSwapBackoff(clock, deps.random);
    const downloads = createDownloadLimit();
    const answered = createAnsweredReports(clock);
    const doubts = createOrderDoubts(deps.policy);
    let target: PublishedWeights | undefined;
    let lastPlan: SwapPlan = { orders: [], waiting: [] };
    let isStopped = false;
    let cancelTick = (): void => {};

    const listViews = (): SamplerView[] => deps.listSamplers().map(answered.freshest).map(doubts.withDoubt);

    function takeResult(sampler: SamplerId, version: WeightVersion, result: SamplerOrderResult): void {
        const fields = { job: deps.job, policy: deps.policy, sampler, version };
        metrics.count("swap_orders_total", { policy: deps.policy, result: result.kind });
        doubts.note(sampler, version, result);
        if (result.kind !== "unknown") {
            answered.note(result.report);
        }
        if (result.kind === "done") {
            logger.info("swapDone", fields);
            backoff.noteDone(sampler);
            downloads.noteDone();
            return;
        }
        const { number, name } = result.code;
        logger.warn("swapFailed", { ...fields, result: result.kind, code: number, name });
        backoff.noteFailed(sampler);
        if (number === resultCodes.weightStoreThrottled.number) {
            downloads.noteRefused(ordered.size);
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
        takeResult(sampler, version, result);
        poke();
    }

    function poke(): void {
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
            backingOff: backoff.current(),
            maxSwappingRatio: deps.limits().maxSwappingRatio,
            maxDownloads: downloads.current(),
        });
        for (const { sampler, reason } of lastPlan.orders) {
            void orderSwap(sampler, reason, weights);
        }
    }

    function tick(): void {
        if (!isStopped) {
            poke();
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
        poke,
        pending: () =>
            listViews()
                .filter(view => (servedVersion(view, deps.policy) ?? -1) < (target?.version ?? -1))
                .map(view => view.report.sampler),
        withDoubt: doubts.withDoubt,
        isAboutToSwap: sampler => ordered.has(sampler) || lastPlan.waiting[0] === sampler,
        stop: () => {
            isStopped = true;
            cancelTick();
        },
    };
}
