import type { TokenSpan } from "@auburnarch/types/TokenSpan";

/** Total number of tokens in the spans. */
export function countTokens(spans: Iterable<TokenSpan>): number {
    let tokens = 0;
    for (const span of spans) {
        tokens += span.tokens;
    }
    return tokens;
}
