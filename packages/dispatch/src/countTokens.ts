import type { TokenSpan } from "@auburnarch/types/TokenSpan";

/** Tokens of all spans together. */
export function countTokens(spans: TokenSpan[]): number {
    return spans.reduce((sum, span) => sum + span.tokens, 0);
}
