import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { KeyedRequest } from "./KeyedRequest.js";

/** The at-most-once memory of one key range, as long as its lease is held. */
export interface KeyRange {
    /**
     * Runs `execute` for a new key; a repeat joins the run or gets its answer. `notRun` is said of this sending:
     * what became of an earlier one is learned by sending the key again. After `notRun` from `execute` the key may
     * run again, after `unknown` never. Never rejects.
     */
    run(
        request: KeyedRequest,
        execute: () => Promise<AttemptOutcome<PlainAnswer>>,
    ): Promise<AttemptOutcome<PlainAnswer>>;
    /** Keys remembered now. */
    size(): number;
}
