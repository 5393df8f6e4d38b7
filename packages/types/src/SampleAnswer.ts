import type { AttemptId } from "./AttemptId.js";
import type { SamplerId } from "./SamplerId.js";
import type { TokenSpan } from "./TokenSpan.js";

/** Result of a finished attempt. `spans` includes those it resumed from. `complete` is false after a cancellation. */
export interface SampleAnswer {
    attempt: AttemptId;
    sampler: SamplerId;
    spans: TokenSpan[];
    complete: boolean;
    /** Engine time charged to this attempt. */
    engineMs: number;
    cachedPromptTokens: number;
}
