import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerView } from "@auburnarch/types/SamplerView";

interface PlainChoice {
    sampler: SamplerId;
    candidates: number;
    reason: "leastLoad" | "leastLoadNearby";
    /** Running and waiting work as a part of the sampler's limit. */
    loadRatio: number;
}

/** Work there as far as known: what the report counted, and what was sent too late for it to count. */
function loadRatio({ report, sentAttempts, sentSinceReport }: SamplerView): number {
    const known = Math.max(report.running + report.waiting + sentSinceReport, sentAttempts);
    return known / Math.max(1, report.limit);
}

/**
 * Chooses the sampler of a plain or interactive request: the least loaded one that is able and not tried yet, among
 * equals one in the same failure domain, then in the order of `draw` (uniform in [0, 1)). Suspected ones come last.
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
