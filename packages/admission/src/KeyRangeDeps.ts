import type { Invariants } from "@auburnarch/invariants/Invariants";
import type { Clock } from "@auburnarch/types/Clock";
import type { Lease } from "@auburnarch/types/Lease";
import type { Logger } from "@auburnarch/types/Logger";
import type { AnswerCacheBudget } from "./AnswerCacheBudget.js";
import type { KeyRangeGuards } from "./KeyRangeGuards.js";

/** What the owner of a key range is built from. */
export interface KeyRangeDeps {
    range: number;
    lease: Pick<Lease, "isHeld">;
    /** Wall time at which the lease was acquired; undefined if no one ever held it before. */
    takenOverAtMs: number | undefined;
    clock: Clock;
    logger: Logger;
    invariants: Invariants;
    /** Shared by the ranges of an entry. */
    answerBudget: AnswerCacheBudget;
    /** For how long a key may be sent again; 10 min by default. */
    windowMs?: number;
    /** Largest difference between any two clocks, of entries and callers; 2 s by default. */
    skewMs?: number;
    /** Keys remembered at once; a new one beyond it is refused. */
    maxKeys?: number;
    maxAnswerBytes?: number;
    guards?: KeyRangeGuards;
}
