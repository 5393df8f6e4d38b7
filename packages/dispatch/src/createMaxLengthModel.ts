import type { LengthModel } from "./LengthModel.js";

/** Creates a model without prediction: every sample is expected to reach its token limit. */
export function createMaxLengthModel(): LengthModel {
    return {
        observe: () => {},
        longTokens: maxTokens => maxTokens,
        expectRemaining: (_prompt, produced, maxTokens) => Math.max(1, maxTokens - produced),
    };
}
