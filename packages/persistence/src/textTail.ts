import type { TokenSpan } from "@auburnarch/types/TokenSpan";

/** What of `spans` lies behind the first `tokens` tokens and `chars` characters, which end at the end of a token. */
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
