import type { Candidate } from "@auburnarch/selection/Candidate";

/** Input of the rule: a running attempt. */
interface MovableAttempt {
    /** The sampler that runs it; undefined if that is no longer a candidate. */
    current: Candidate | undefined;
    leftTokens: number;
    /** Tokens generated so far; another sampler has to prefill them. */
    madeTokens: number;
    /** Number of earlier moves of the sample. */
    moves: number;
}

/** Returns the candidate on which a running attempt should continue, or undefined to leave it where it is. */
export type MoveRule = (attempt: MovableAttempt, candidates: Candidate[]) => Candidate | undefined;
