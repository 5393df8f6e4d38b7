import type { AttemptId } from "./AttemptId.js";
import type { SamplerId } from "./SamplerId.js";
import type { TokenSpan } from "./TokenSpan.js";

/** What a finished attempt produced. `spans` include those resumed from. `complete` is false after a cancel. */
export interface SampleAnswer {
    attempt: AttemptId;
    sampler: SamplerId;
    spans: TokenSpan[];
    complete: boolean;
    /** Engine time charged to this attempt. */
    engineMs: number;
    cachedPromptTokens: number;
}
