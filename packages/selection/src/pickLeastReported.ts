import type { Candidate } from "./Candidate.js";
import type { SamplerPicker } from "./SamplerPicker.js";

const reportedLoad = (candidate: Candidate): number =>
    candidate.view.report.running + candidate.view.report.waiting;

/** Baseline: the candidate with the lowest reported load, without correction; ties are broken at random. */
export const pickLeastReported: SamplerPicker = (candidates, _request, random) => {
    const available = candidates.filter(candidate => candidate.room > 0);
    if (available.length === 0) {
        return { kind: "none", reason: "noRoom", candidates: candidates.length };
    }
    const least = Math.min(...available.map(reportedLoad));
    const ties = available.filter(candidate => reportedLoad(candidate) === least);
    return {
        kind: "picked",
        sampler: ties[random.nextInt(ties.length)]!.view.report.sampler,
        reason: "leastReported",
        candidates: available.length,
        estimatedFinishMs: undefined,
    };
};
