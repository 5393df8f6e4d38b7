import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerView } from "@auburnarch/types/SamplerView";

interface PlainChoice {
    sampler: SamplerId;
    candidates: number;
    reason: "leastLoad" | "leastLoadNearby";
    /** Running and waiting requests divided by the sampler's limit. */
    loadRatio: number;
}

/** Estimates the load from the sampler's report and from sends that are too recent to be included in it. */
function loadRatio({ report, sentAttempts, sentSinceReport }: SamplerView): number {
    const known = Math.max(report.running + report.waiting + sentSinceReport, sentAttempts);
    return known / Math.max(1, report.limit);
}

/**
 * Chooses the sampler for a plain or interactive request: the least loaded one that is ready or swapping and has not
 * been tried yet. Ties are broken in favour of the same failure domain, then by `draw` (uniform in [0, 1)). Suspected
 * samplers are used only if there is no other.
 */
export function choosePlainSampler(
    views: readonly SamplerView[],
    tried: readonly SamplerId[],
    ownFailureDomain: FailureDomain,
    draw: () => number,
): PlainChoice | undefined {
    const eligible = views.filter(({ report }) =>
        (report.state === "ready" || report.state === "swapping") && !tried.includes(report.sampler)
    );
    const unsuspected = eligible.filter(view => !view.suspected);
    const candidates = unsuspected.length > 0 ? unsuspected : eligible;
    const ranked = candidates.map(view => ({
        view,
        load: loadRatio(view),
        isNearby: view.report.failureDomain === ownFailureDomain,
        tieBreak: draw(),
    }));
    ranked.sort((a, b) =>
        a.load - b.load || Number(b.isNearby) - Number(a.isNearby) || a.tieBreak - b.tieBreak
    );
    const best = ranked[0];
    if (best === undefined) {
        return undefined;
    }
    return {
        sampler: best.view.report.sampler,
        candidates: candidates.length,
        reason: best.isNearby ? "leastLoadNearby" : "leastLoad",
        loadRatio: best.load,
    };
}
