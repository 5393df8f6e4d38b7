import type { TokenSpan } from "@auburnarch/types/TokenSpan";

/**
 * Returns the part of `spans` after the first `tokens` tokens and `chars` characters, which end at the end of the same
 * token.
 */
export function textTail(spans: TokenSpan[], tokens: number, chars: number): TokenSpan[] {
    const tail: TokenSpan[] = [];
    let skippedTokens = tokens;
    let skippedChars = chars;
    for (const span of spans) {
        if (skippedChars >= span.text.length) {
            skippedTokens -= span.tokens;
            skippedChars -= span.text.length;
            continue;
        }
        const text = span.text.slice(skippedChars);
        tail.push({ version: span.version, tokens: span.tokens - skippedTokens, text });
        skippedTokens = 0;
        skippedChars = 0;
    }
    return tail;
}
