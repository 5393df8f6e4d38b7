import type { Candidate } from "./Candidate.js";
import { correctedLoad } from "./correctedLoad.js";
import type { PickRequest } from "./PickRequest.js";

/** How much slower each generation of a full batch is than one alone, where no rate was observed. */
const fullBatchSlowdown = 0.5;
/** Prompt tokens are read this many times faster than tokens are generated. */
const prefillSpeedup = 20;
/** Rate assumed for a sampler that reports none. */
const leastTokensPerSecond = 1;

const tokensPerSecondAt = (candidate: Candidate, load: number): number => {
    const report = candidate.view.report;
    const fill = Math.min(1, load / Math.max(1, report.maxBatch));
    const expected = report.tokensPerSecond * (1 - fullBatchSlowdown * fill);
    return Math.max(leastTokensPerSecond, candidate.observedTokensPerSecond ?? expected);
};

/**
 * Milliseconds from now until the request would be complete at a candidate: time in its queue, reading the part
 * of the prompt that is not cached, and generating what is still expected at the speed of its batch.
 */
export function estimateFinishMs(candidate: Candidate, request: PickRequest): number {
    const load = correctedLoad(candidate);
    const limit = Math.max(1, candidate.view.report.limit);
    const tokensPerSecond = tokensPerSecondAt(candidate, load + 1);
    const ahead = Math.max(0, load + 1 - limit);
    const queueMs = ahead / limit * request.expectedTokens / tokensPerSecond * 1000;
    const uncachedTokens = Math.max(0, request.promptTokens - candidate.cachedPromptTokens);
    const prefillMs = uncachedTokens / (tokensPerSecond * prefillSpeedup) * 1000;
    return queueMs + prefillMs + request.expectedTokens / tokensPerSecond * 1000;
}
