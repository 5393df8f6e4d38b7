import type { Candidate } from "./Candidate.js";
import type { SamplerPicker } from "./SamplerPicker.js";

const comesBefore = (a: Candidate, b: Candidate): boolean =>
    a.lastSentOrder < b.lastSentOrder
    || (a.lastSentOrder === b.lastSentOrder && a.view.report.sampler < b.view.report.sampler);

/** Baseline: the candidate with room that was used least recently. */
export const pickRoundRobin: SamplerPicker = candidates => {
    const available = candidates.filter(candidate => candidate.room > 0);
    const first = available[0];
    if (first === undefined) {
        return { kind: "none", reason: "noRoom", candidates: candidates.length };
    }
    const next = available.reduce(
        (best, candidate) => comesBefore(candidate, best) ? candidate : best,
        first,
    );
    return {
        kind: "picked",
        sampler: next.view.report.sampler,
        reason: "roundRobin",
        candidates: available.length,
        estimatedFinishMs: undefined,
    };
};
