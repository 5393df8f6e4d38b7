import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { RunningAttempt } from "./RunningAttempt.js";

/** Whether an attempt broke off before its first span. */
export function isFruitless(attempt: RunningAttempt, code: ResultCode): boolean {
    const isBroken = code === resultCodes.connectionBroken || code === resultCodes.engineCrashed;
    return isBroken && attempt.spans.length === 0;
}
