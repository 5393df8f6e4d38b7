import type { Candidate } from "./Candidate.js";
import { correctedLoad } from "./correctedLoad.js";
import { expectedTokensPerSecond } from "./expectedTokensPerSecond.js";
import type { PickRequest } from "./PickRequest.js";

/** Prefill speed as a multiple of the generation speed. */
const prefillSpeedup = 30;

/** Mean remaining tokens of this dispatcher's attempts at the candidate; those of the request if there are none. */
const meanRemainingTokens = (candidate: Candidate, request: PickRequest): number =>
    candidate.outstanding === 0
        ? request.expectedTokens
        : candidate.outstandingTokens / candidate.outstanding;

/**
 * Estimates the time until the request would be complete on a candidate: the wait for a free slot behind the queued
 * attempts, the prefill of the uncached part of the prompt, and the generation of the expected tokens.
 */
export function estimateFinishMs(candidate: Candidate, request: PickRequest): number {
    const load = correctedLoad(candidate) + candidate.reserved;
    const limit = Math.max(1, candidate.view.report.limit);
    const tokensPerSecond = expectedTokensPerSecond(candidate, Math.min(load + 1, limit));
    const queuedAhead = Math.max(0, load + 1 - limit);
    const queueMs = queuedAhead / limit * meanRemainingTokens(candidate, request) / tokensPerSecond * 1000;
    const uncachedTokens = Math.max(0, request.promptTokens - candidate.cachedPromptTokens);
    const prefillMs = uncachedTokens / (tokensPerSecond * prefillSpeedup) * 1000;
    return queueMs + prefillMs + request.expectedTokens / tokensPerSecond * 1000;
}
