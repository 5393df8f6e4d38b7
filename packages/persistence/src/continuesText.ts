import type { TokenSpan } from "@auburnarch/types/TokenSpan";

/**
 * Whether a text continues an earlier state of it. The versions must agree too: a text that was generated again by other
 * weights may begin with the same characters.
 */
export function continuesText(before: readonly TokenSpan[], after: readonly TokenSpan[]): boolean {
    return before.every((span, index) => {
        const next = after[index];
        const isLast = index === before.length - 1;
        return next !== undefined && next.version === span.version
            && (isLast
                ? next.tokens >= span.tokens && next.text.startsWith(span.text)
                : next.tokens === span.tokens && next.text === span.text);
    });
}
