import type { Candidate } from "./Candidate.js";
import { estimateFinishMs } from "./estimateFinishMs.js";
import type { SamplerPicker } from "./SamplerPicker.js";

interface Ranked {
    candidate: Candidate;
    finishMs: number;
}

/** A sampler with room is chosen unless waiting for another one saves at least this share of the time. */
const minGainRatio = 0.15;

/** The gain must also exceed the age of the report, since the estimate of the queue is only as recent as that. */
const isWorthWaiting = (full: Ranked, available: Ranked): boolean => {
    const gainMs = available.finishMs - full.finishMs;
    return gainMs > available.finishMs * minGainRatio && gainMs > full.candidate.view.reportAgeMs;
};

const earliest = (
    candidates: Candidate[],
    finishMs: (candidate: Candidate) => number,
): Ranked | undefined => {
    let best: Ranked | undefined;
    for (const candidate of candidates) {
        const ms = finishMs(candidate);
        if (best === undefined || ms < best.finishMs) {
            best = { candidate, finishMs: ms };
        }
    }
    return best;
};

const reasonFor = (candidate: Candidate): string =>
    candidate.cachedPromptTokens > 0 ? "earliestFinishCachedPrefix" : "earliestFinish";

/**
 * Picks the candidate that is expected to finish the request first, including its queue. If that one has no room yet
 * and is worth the wait, the request stays at the dispatcher; otherwise a long sample would go to a slow sampler that
 * happens to have room, and delay the step longer than the queue of the fast sampler. A candidate that is about to
 * swap weights is picked only if no other has room, because an attempt that starts there is paused at once.
 */
export const pickEarliestFinish: SamplerPicker = (candidates, request) => {
    const notSwapping = candidates.filter(candidate => !candidate.aboutToSwap);
    const pool = notSwapping.some(candidate => candidate.room > 0) ? notSwapping : candidates;
    const finishMs = (candidate: Candidate): number => estimateFinishMs(candidate, request);
    const available = earliest(pool.filter(candidate => candidate.room > 0), finishMs);
    if (available === undefined) {
        return { kind: "none", reason: "noRoom", candidates: candidates.length };
    }
    const full = earliest(pool.filter(candidate => candidate.room <= 0), finishMs);
    if (full !== undefined && isWorthWaiting(full, available)) {
        const sampler = full.candidate.view.report.sampler;
        return { kind: "none", reason: "waitForFaster", candidates: candidates.length, sampler };
    }
    return {
        kind: "picked",
        sampler: available.candidate.view.report.sampler,
        reason: reasonFor(available.candidate),
        candidates: candidates.length,
        estimatedFinishMs: Math.round(available.finishMs),
    };
};
