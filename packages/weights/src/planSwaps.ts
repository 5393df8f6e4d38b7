import { servedVersion } from "@auburnarch/selection/servedVersion";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { SwapPlan } from "./SwapPlan.js";
import type { SwapPlanInput } from "./SwapPlanInput.js";

/** True if the sampler is idle and cannot serve the policy at `minVersion`: swapping it costs no capacity. */
const losesNoCapacity = (view: SamplerView, input: SwapPlanInput): boolean => {
    const version = servedVersion(view, input.policy);
    const isUsable = view.report.state === "ready" && version !== undefined && version >= input.minVersion;
    return !isUsable && view.report.running === 0;
};

const pendingWork = (view: SamplerView): number =>
    view.report.running + view.report.waiting + view.sentSinceReport;

const isReachable = (view: SamplerView): boolean =>
    !view.suspected && (view.report.state === "ready" || view.report.state === "unknownVersion");

const needsSwap = (view: SamplerView, input: SwapPlanInput): boolean => {
    const version = servedVersion(view, input.policy);
    return view.report.state === "unknownVersion" || version === undefined || version < input.target;
};

const compareByWork = (a: SamplerView, b: SamplerView): number =>
    pendingWork(a) - pendingWork(b)
    || a.sentTokens - b.sentTokens
    || (a.report.sampler < b.report.sampler ? -1 : 1);

/**
 * Selects the samplers that swap weights now. Samplers that lose no capacity swap at once; of the others at most
 * `maxSwappingRatio` (but at least one) swap at a time, those with the least work first, because their swap drains or
 * pauses the fewest samples. All swaps together stay within the download limit of the weight store.
 */
export function planSwaps(input: SwapPlanInput): SwapPlan {
    const serving = input.views.filter(view => view.report.state !== "leaving");
    const isSwapping = (view: SamplerView): boolean =>
        input.ordered.has(view.report.sampler) || view.report.state === "swapping";
    const candidates = serving
        .filter(view => !isSwapping(view) && isReachable(view) && needsSwap(view, input))
        .filter(view => !input.backingOff.has(view.report.sampler))
        .sort(compareByWork);
    const swappingCount = serving.filter(isSwapping).length;
    let slots = Math.max(1, Math.floor(serving.length * input.maxSwappingRatio)) - swappingCount;
    let downloads = input.maxDownloads - input.ordered.size;

    const orders: SwapPlan["orders"] = [];
    const waiting: SamplerId[] = [];
    for (const view of candidates) {
        const needsNoSlot = losesNoCapacity(view, input);
        if (downloads <= 0 || (!needsNoSlot && slots <= 0)) {
            waiting.push(view.report.sampler);
            continue;
        }
        downloads--;
        slots -= needsNoSlot ? 0 : 1;
        orders.push({ sampler: view.report.sampler, reason: needsNoSlot ? "noCapacityLost" : "leastWork" });
    }
    return { orders, waiting };
}
