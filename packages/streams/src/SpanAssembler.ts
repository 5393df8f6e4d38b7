import type { TokenSpan } from "@auburnarch/types/TokenSpan";

/** Collects the streamed spans of one attempt after the spans that the attempt resumed from. */
export interface SpanAssembler {
    /** Adds the next streamed span. */
    add(span: TokenSpan): void;
    /** All spans so far, including those resumed from; adjacent spans of the same version are merged. */
    spans(): TokenSpan[];
    /** Number of tokens added, excluding those resumed from. */
    addedTokens(): number;
    /** Number of spans added, excluding those resumed from. */
    addedSpans(): number;
}
