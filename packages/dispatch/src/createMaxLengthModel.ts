import type { LengthModel } from "./LengthModel.js";

/** Predicts nothing: every sample is expected to reach its limit. */
export function createMaxLengthModel(): LengthModel {
    return {
        observe: () => {},
        longTokens: maxTokens => maxTokens,
        expectRemaining: (_prompt, produced, maxTokens) => Math.max(1, maxTokens - produced),
    };
}
