import type { Candidate } from "./Candidate.js";
import { estimateFinishMs } from "./estimateFinishMs.js";
import type { SamplerPicker } from "./SamplerPicker.js";

const reasonFor = (candidate: Candidate): string =>
    candidate.cachedPromptTokens > 0 ? "leastFinishCachedPrefix" : "leastFinish";

/**
 * Picks the candidate with room that is expected to finish the request first. A candidate that is about to swap
 * weights is picked only if no other has room, because the swap pauses or drains an attempt that starts there.
 */
export const pickLeastFinish: SamplerPicker = (candidates, request) => {
    const available = candidates.filter(candidate => candidate.room > 0);
    const notSwapping = available.filter(candidate => !candidate.aboutToSwap);
    const pool = notSwapping.length > 0 ? notSwapping : available;
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
        candidates: available.length,
        estimatedFinishMs: Math.round(bestMs),
    };
};
