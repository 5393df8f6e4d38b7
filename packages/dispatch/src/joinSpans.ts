import type { TokenSpan } from "@auburnarch/types/TokenSpan";

/** One list of spans in order, neighbours of the same version joined. The arguments stay as they are. */
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
