import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** Weight versions of a text, each once, in order of appearance. */
export const versionsOf = (spans: TokenSpan[]): WeightVersion[] => [
    ...new Set(spans.map(span => span.version)),
];
