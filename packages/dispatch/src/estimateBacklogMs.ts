import type { Candidate } from "@auburnarch/selection/Candidate";
import { expectedTokensPerSecond } from "@auburnarch/selection/expectedTokensPerSecond";
import type { DispatchState } from "./DispatchState.js";

/** Time that all samplers together need for the waiting samples at full batches; infinite without samplers. */
export function estimateBacklogMs(state: DispatchState, candidates: Candidate[]): number {
    let tokens = 0;
    for (const work of state.queue.all()) {
        tokens += work.expectedTokens;
    }
    let tokensPerSecond = 0;
    for (const candidate of candidates) {
        const { limit, state: samplerState } = candidate.view.report;
        if (samplerState === "ready" || samplerState === "swapping") {
            tokensPerSecond += limit * expectedTokensPerSecond(candidate, limit);
        }
    }
    return tokens / tokensPerSecond * 1000;
}
