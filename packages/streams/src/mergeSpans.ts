import type { TokenSpan } from "@auburnarch/types/TokenSpan";

/** Merges adjacent spans of the same weight version, preserving order, text and token counts. Drops empty spans. */
export function mergeSpans(spans: Iterable<TokenSpan>): TokenSpan[] {
    const merged: TokenSpan[] = [];
    for (const span of spans) {
        if (span.tokens === 0 && span.text === "") {
            continue;
        }
        const last = merged.at(-1);
        if (last !== undefined && last.version === span.version) {
            last.tokens += span.tokens;
            last.text += span.text;
        }
        else {
            merged.push({ ...span });
        }
    }
    return merged;
}
