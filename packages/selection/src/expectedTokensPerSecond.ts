import type { Candidate } from "./Candidate.js";

/** How much slower each generation of a full batch is than one alone. */
const fullBatchSlowdown = 0.25;
/** Rate assumed for a sampler that reports none. */
const minTokensPerSecond = 1;

/** Tokens a second of one more generation at a candidate: as observed lately, else as reported less the batch's toll. */
export function expectedTokensPerSecond(candidate: Candidate, load: number): number {
    const { tokensPerSecond, maxBatch } = candidate.view.report;
    const fill = Math.min(1, load / Math.max(1, maxBatch));
    const expected = tokensPerSecond * (1 - fullBatchSlowdown * fill);
    return Math.max(minTokensPerSecond, candidate.observedTokensPerSecond ?? expected);
}
