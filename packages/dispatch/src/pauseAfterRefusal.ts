import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";

/** Longest pause of a sample whose content is quarantined; shorter if the refusal states when to retry. */
const quarantinePauseMs = 30_000;
/** Shortest pause: a refusal may ask for none while a trial runs or the quarantine list is being written. */
const minQuarantinePauseMs = 1_000;

/** Pause of a sample before its next attempt, after one that was refused. */
export function pauseAfterRefusal(code: ResultCode, retryAfterMs: number | undefined): number {
    if (code.number !== resultCodes.quarantined.number) {
        return 0;
    }
    const requestedMs = Math.max(minQuarantinePauseMs, retryAfterMs ?? quarantinePauseMs);
    return Math.min(quarantinePauseMs, requestedMs);
}
