import type { RunningAttempt } from "./RunningAttempt.js";

/** True if a running attempt is considered for a move to another sampler. */
export type MovableRule = (attempt: Pick<RunningAttempt, "tokens" | "expectedTokens">) => boolean;
