import { countTokens } from "@auburnarch/dispatch/countTokens";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { OpenText } from "./OpenText.js";

type Text = Pick<OpenText, "spans" | "isComplete">;

/**
 * Chooses the text to resume an item from: a complete one, otherwise the longest. Texts with a version below `minVersion`
 * are not considered. Of equal texts the first is chosen.
 */
export function chooseText<T extends Text>(texts: readonly T[], minVersion: WeightVersion): T | undefined {
    const fresh = texts.filter(({ spans }) =>
        spans.length > 0 && spans.every(span => span.version >= minVersion)
    );
    const isBetter = (text: T, best: T): boolean =>
        text.isComplete === best.isComplete
            ? countTokens(text.spans) > countTokens(best.spans)
            : text.isComplete;
    return fresh.reduce<T | undefined>(
        (best, text) => best === undefined || isBetter(text, best) ? text : best,
        undefined,
    );
}
