import type { Invariants } from "@auburnarch/invariants/Invariants";
import type { Clock } from "@auburnarch/types/Clock";
import type { Lease } from "@auburnarch/types/Lease";
import type { Logger } from "@auburnarch/types/Logger";
import type { AnswerCacheBudget } from "./AnswerCacheBudget.js";
import type { KeyRangeGuards } from "./KeyRangeGuards.js";

/** Dependencies of `createKeyRange`. */
export interface KeyRangeDeps {
    range: number;
    lease: Pick<Lease, "isHeld">;
    /** Wall time at which the lease was acquired; undefined if it was never held before. */
    takenOverAtMs: number | undefined;
    clock: Clock;
    logger: Logger;
    invariants: Invariants;
    /** Shared by the ranges of an entry. */
    answerBudget: AnswerCacheBudget;
    /** Time within which a key may be sent again; 10 min by default. */
    windowMs?: number;
    /** Largest difference between any two clocks, of entries and callers; 2 s by default. */
    skewMs?: number;
    /** Maximum number of recorded keys; further new keys are refused. */
    maxKeys?: number;
    maxAnswerBytes?: number;
    guards?: KeyRangeGuards;
}
