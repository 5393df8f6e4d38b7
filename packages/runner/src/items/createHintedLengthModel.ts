import { createPromptLengthModel } from "@auburnarch/dispatch/createPromptLengthModel";
import type { LengthModel } from "@auburnarch/dispatch/LengthModel";

/** A hint is right at the median but often far off, so an item near its hint is expected to have this part left. */
const overrunRatio = 0.35;

/**
 * Predicts lengths by the client's hint of each item. Without a hint by what the job's items came to. `prompt` is the
 * item's id: items that share a prompt differ in length as much as any.
 */
export function createHintedLengthModel(hintOf: (item: string) => number | undefined): LengthModel {
    const observed = createPromptLengthModel();
    return {
        observe: observed.observe,
        longTokens: observed.longTokens,
        expectRemaining: (item, produced, maxTokens) => {
            const hint = hintOf(item);
            if (hint === undefined) {
                return observed.expectRemaining(item, produced, maxTokens);
            }
            const left = Math.max(hint - produced, overrunRatio * produced);
            return Math.max(1, Math.min(left, maxTokens - produced));
        },
    };
}
