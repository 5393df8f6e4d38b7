import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { ResultCode } from "@auburnarch/types/ResultCode";

/** The outcome of refused work: not run, except for a repeated attempt id, whose first message did run. */
export function refusalOutcome(code: ResultCode): AttemptOutcome<never> {
    return code === resultCodes.connectionBroken
        ? { kind: "unknown", code }
        : { kind: "notRun", code, retryAfterMs: undefined };
}
