import type { Candidate } from "./Candidate.js";
import { estimateFinishMs } from "./estimateFinishMs.js";
import type { SamplerPicker } from "./SamplerPicker.js";

const reasonFor = (candidate: Candidate): string =>
    candidate.cachedPromptTokens > 0 ? "leastFinishCachedPrefix" : "leastFinish";

/**
 * The candidate that is expected to finish the request first. One about to swap weights is taken only if no other
 * has room: what starts there is paused or drained by the swap at once.
 */
export const pickLeastFinish: SamplerPicker = (candidates, request) => {
    const open = candidates.filter(candidate => candidate.room > 0);
    const staying = open.filter(candidate => !candidate.aboutToSwap);
    const pool = staying.length > 0 ? staying : open;
    let best: Candidate | undefined;
    let bestMs = Infinity;
    for (const candidate of pool) {
        const finishMs = estimateFinishMs(candidate, request);
        if (finishMs < bestMs) {
            best = candidate;
            bestMs = finishMs;
        }
    }
    if (best === undefined) {
        return { kind: "none", reason: "noRoom", candidates: candidates.length };
    }
    return {
        kind: "picked",
        sampler: best.view.report.sampler,
        reason: reasonFor(best),
        candidates: open.length,
        estimatedFinishMs: Math.round(bestMs),
    };
};
