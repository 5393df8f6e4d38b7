import type { SamplerPicker } from "./SamplerPicker.js";

/** Baseline: any candidate with equal probability. */
export const pickRandom: SamplerPicker = (candidates, _request, random) => {
    const open = candidates.filter(candidate => candidate.room > 0);
    if (open.length === 0) {
        return { kind: "none", reason: "noRoom", candidates: candidates.length };
    }
    return {
        kind: "picked",
        sampler: open[random.nextInt(open.length)]!.view.report.sampler,
        reason: "random",
        candidates: open.length,
        estimatedFinishMs: undefined,
    };
};
