import type { WaitingSample } from "@auburnarch/queue/WaitingSample";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { RunningAttempt } from "./RunningAttempt.js";

/** A sample that is wanted and not made yet. */
export interface SampleWork extends WaitingSample {
    minVersion: WeightVersion;
    /** Spans to continue behind, from attempts that ended early; empty for a fresh start. */
    resume: TokenSpan[];
    /** Attempts that ended without saying what came of them. */
    failures: number;
    /** Attempts in a row that broke off before they made anything. */
    fruitless: number;
    attemptsSent: number;
    /** Times it was moved to another sampler while it ran. */
    moves: number;
    /** Samplers that failed it. */
    avoid: Set<SamplerId>;
    running: Set<RunningAttempt>;
}
