import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { SampleWork } from "./SampleWork.js";

/** Why the dispatcher itself ended an attempt. */
type EndCause = "withdrawn" | "stale" | "moved" | "stalled" | "lostRace" | "stopped";

/** An attempt that was sent and has not ended. */
export interface RunningAttempt {
    attempt: AttemptId;
    work: SampleWork;
    sampler: SamplerId;
    abort: AbortController;
    /** Spans it continues behind. */
    resumedSpans: TokenSpan[];
    /** Spans streamed so far, behind those resumed from. */
    spans: TokenSpan[];
    tokens: number;
    expectedTokens: number;
    sentAtMs: number;
    firstSpanAtMs: number | undefined;
    lastSpanAtMs: number | undefined;
    firstSpanTokens: number;
    /** Undefined while the dispatcher wants it to go on. */
    endCause: EndCause | undefined;
}
