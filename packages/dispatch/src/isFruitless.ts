import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { RunningAttempt } from "./RunningAttempt.js";

/** Whether an attempt broke off before its first span, or its spans are of no use. */
export function isFruitless(attempt: RunningAttempt, code: ResultCode): boolean {
    const isBroken = code === resultCodes.connectionBroken || code === resultCodes.engineCrashed;
    return code === resultCodes.answerTooLong || isBroken && attempt.spans.length === 0;
}
