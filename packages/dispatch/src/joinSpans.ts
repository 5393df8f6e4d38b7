import type { TokenSpan } from "@auburnarch/types/TokenSpan";

/** Concatenates lists of spans and merges neighbours of the same version. The arguments are not modified. */
export function joinSpans(...lists: TokenSpan[][]): TokenSpan[] {
    const joined: TokenSpan[] = [];
    for (const span of lists.flat()) {
        const last = joined.at(-1);
        if (last !== undefined && last.version === span.version) {
            const text = last.text + span.text;
            joined[joined.length - 1] = { version: span.version, tokens: last.tokens + span.tokens, text };
        }
        else if (span.tokens > 0) {
            joined.push(span);
        }
    }
    return joined;
}
