import type { SamplerPicker } from "./SamplerPicker.js";

/** Baseline: of two random candidates with room, the one with the lower load. */
export const pickTwoChoices: SamplerPicker = (candidates, _request, random) => {
    const available = candidates.filter(candidate => candidate.room > 0);
    if (available.length === 0) {
        return { kind: "none", reason: "noRoom", candidates: candidates.length };
    }
    const first = available[random.nextInt(available.length)]!;
    const second = available[random.nextInt(available.length)]!;
    const load = (candidate: typeof first): number =>
        Math.max(candidate.view.report.running + candidate.view.report.waiting, candidate.outstanding);
    const chosen = load(second) < load(first) ? second : first;
    return {
        kind: "picked",
        sampler: chosen.view.report.sampler,
        reason: "twoChoices",
        candidates: available.length,
        estimatedFinishMs: undefined,
    };
};
