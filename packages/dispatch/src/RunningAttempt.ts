import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { SampleWork } from "./SampleWork.js";

/** Reason for which the dispatcher itself ended an attempt. */
type EndCause = "withdrawn" | "stale" | "moved" | "stalled" | "lostRace" | "stopped";

/** An attempt that was sent and has not ended yet. */
export interface RunningAttempt {
    attempt: AttemptId;
    work: SampleWork;
    sampler: SamplerId;
    /** Service of the sampler when the attempt was sent. */
    service: ServiceId;
    abort: AbortController;
    /** Spans of earlier attempts that it continues from. */
    resumedSpans: TokenSpan[];
    /** Spans streamed so far, excluding `resumedSpans`. */
    spans: TokenSpan[];
    tokens: number;
    expectedTokens: number;
    sentAtMs: number;
    firstSpanAtMs: number | undefined;
    lastSpanAtMs: number | undefined;
    firstSpanTokens: number;
    /** Undefined unless the dispatcher itself has ended the attempt. */
    endCause: EndCause | undefined;
}
