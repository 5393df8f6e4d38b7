import type { TokenSpan } from "@auburnarch/types/TokenSpan";

/** Characters of a text. */
export const countChars = (spans: TokenSpan[]): number =>
    spans.reduce((sum, span) => sum + span.text.length, 0);
