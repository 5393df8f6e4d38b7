import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import { mergeSpans } from "./mergeSpans.js";
import type { SpanAssembler } from "./SpanAssembler.js";

/** Creates an assembler that continues after `resumedSpans`. */
export function createSpanAssembler(resumedSpans: TokenSpan[]): SpanAssembler {
    const texts: string[][] = [];
    const spans = mergeSpans(resumedSpans);
    for (const span of spans) {
        texts.push([span.text]);
    }
    let addedTokens = 0;
    let addedSpans = 0;

    function add(span: TokenSpan): void {
        addedTokens += span.tokens;
        addedSpans++;
        const last = spans.at(-1);
        if (last !== undefined && last.version === span.version) {
            last.tokens += span.tokens;
            texts.at(-1)!.push(span.text);
        }
        else {
            spans.push({ ...span });
            texts.push([span.text]);
        }
    }

    return {
        add,
        spans: () => spans.map((span, index) => ({ ...span, text: texts[index]!.join("") })),
        addedTokens: () => addedTokens,
        addedSpans: () => addedSpans,
    };
}
