import type { Candidate } from "@auburnarch/selection/Candidate";

/** A running attempt as the rule for moves sees it. */
interface MovableAttempt {
    /** Where it runs; undefined if that sampler is no candidate any more. */
    current: Candidate | undefined;
    leftTokens: number;
    /** Tokens to be read again elsewhere. */
    madeTokens: number;
    /** Times the sample was moved before. */
    moves: number;
}

/** The candidate that a running attempt should go on at, or undefined to leave it where it is. */
export type MoveRule = (attempt: MovableAttempt, candidates: Candidate[]) => Candidate | undefined;
