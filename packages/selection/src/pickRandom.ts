import type { SamplerPicker } from "./SamplerPicker.js";

/** Baseline: a candidate with room, with equal probability. */
export const pickRandom: SamplerPicker = (candidates, _request, random) => {
    const available = candidates.filter(candidate => candidate.room > 0);
    if (available.length === 0) {
        return { kind: "none", reason: "noRoom", candidates: candidates.length };
    }
    return {
        kind: "picked",
        sampler: available[random.nextInt(available.length)]!.view.report.sampler,
        reason: "random",
        candidates: available.length,
        estimatedFinishMs: undefined,
    };
};
