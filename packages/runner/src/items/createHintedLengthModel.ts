import { createPromptLengthModel } from "@auburnarch/dispatch/createPromptLengthModel";
import type { LengthModel } from "@auburnarch/dispatch/LengthModel";

/**
 * Expected remaining length of an item near its hint, relative to the length so far. A hint is accurate at the median
 * but often far off.
 */
const overrunRatio = 0.35;

/**
 * Predicts the length of each item by the client's hint, or without a hint by the observed lengths of the items.
 * `prompt` is the item's id, since items that share a prompt differ in length as much as any others.
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
