import type { WaitingSample } from "@auburnarch/queue/WaitingSample";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { RunningAttempt } from "./RunningAttempt.js";

/** A submitted sample that is not finished yet. */
export interface SampleWork extends WaitingSample {
    minVersion: WeightVersion;
    /** Spans of ended attempts that the next attempt continues from; empty for a new start. */
    resume: TokenSpan[];
    /** Attempts that ended with an unknown outcome. */
    failures: number;
    /** Consecutive attempts that ended without output of use. */
    fruitless: number;
    attemptsSent: number;
    /** Number of moves to another sampler while it was running. */
    moves: number;
    /** Samplers on which an attempt failed. */
    avoid: Set<SamplerId>;
    running: Set<RunningAttempt>;
}
