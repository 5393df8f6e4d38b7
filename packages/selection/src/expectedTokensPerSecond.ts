import type { Candidate } from "./Candidate.js";

/** Relative slowdown of each generation in a full batch against one that runs alone. */
const fullBatchSlowdown = 0.25;
/** Assumed for a sampler that reports none. */
const minTokensPerSecond = 1;

/**
 * Tokens per second of one more generation on a candidate: as measured, or else as reported minus the batch
 * slowdown.
 */
export function expectedTokensPerSecond(candidate: Candidate, load: number): number {
    const { tokensPerSecond, maxBatch } = candidate.view.report;
    const fill = Math.min(1, load / Math.max(1, maxBatch));
    const expected = tokensPerSecond * (1 - fullBatchSlowdown * fill);
    return Math.max(minTokensPerSecond, candidate.observedTokensPerSecond ?? expected);
}
