import type { TokenSpan } from "@auburnarch/types/TokenSpan";

/** Total number of tokens of the spans. */
export function countTokens(spans: TokenSpan[]): number {
    return spans.reduce((sum, span) => sum + span.tokens, 0);
}
