import type { TokenSpan } from "@auburnarch/types/TokenSpan";

/** Collects streamed spans of one attempt behind those it resumed from. */
export interface SpanAssembler {
    /** Takes the next streamed span. */
    add(span: TokenSpan): void;
    /** All spans so far, those resumed from included, neighbours of one version joined. */
    spans(): TokenSpan[];
    /** Tokens added, without those resumed from. */
    addedTokens(): number;
    /** Spans added, without those resumed from. */
    addedSpans(): number;
}
