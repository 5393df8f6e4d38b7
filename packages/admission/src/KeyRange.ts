import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { KeyedRequest } from "./KeyedRequest.js";

/** The at-most-once record of one key range, while its lease is held. */
export interface KeyRange {
    /**
     * Runs `execute` for a new key; a repeat joins the run or gets its answer. `notRun` refers to this attempt only;
     * the outcome of an earlier one is returned when the key is sent again. After `notRun` from `execute` the key may
     * run again, after `unknown` it may not. Never rejects.
     */
    run(
        request: KeyedRequest,
        execute: () => Promise<AttemptOutcome<PlainAnswer>>,
    ): Promise<AttemptOutcome<PlainAnswer>>;
    /** Number of keys currently recorded. */
    size(): number;
}
