import type { TokenSpan } from "@auburnarch/types/TokenSpan";

/** Tokens that the spans hold together. */
export function countTokens(spans: Iterable<TokenSpan>): number {
    let tokens = 0;
    for (const span of spans) {
        tokens += span.tokens;
    }
    return tokens;
}
