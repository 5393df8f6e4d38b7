import type { Candidate } from "./Candidate.js";
import { correctedLoad } from "./correctedLoad.js";
import { expectedTokensPerSecond } from "./expectedTokensPerSecond.js";
import type { PickRequest } from "./PickRequest.js";

/** Prompt tokens are read this many times faster than tokens are generated. */
const prefillSpeedup = 30;

/** Tokens that those at work there still make, each; guessed by the request itself where nothing of ours runs. */
const meanRemainingTokens = (candidate: Candidate, request: PickRequest): number =>
    candidate.outstanding === 0
        ? request.expectedTokens
        : candidate.outstandingTokens / candidate.outstanding;

/**
 * Milliseconds from now until the request would be complete at a candidate: time until a place is free there
 * behind those who wait, reading the part of the prompt that is not cached, and generating what is expected.
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
