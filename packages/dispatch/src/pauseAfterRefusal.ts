import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";

/** Longest pause of a sample whose content is refused everywhere; shorter where its refusal tells when to come back. */
const quarantinePauseMs = 30_000;
/** Refused though a run is due: another sample of the content has it, or the list is being written. */
const minQuarantinePauseMs = 1_000;

/** How long a sample waits before its next attempt after one that was refused. */
export function pauseAfterRefusal(code: ResultCode, retryAfterMs: number | undefined): number {
    if (code.number !== resultCodes.quarantined.number) {
        return 0;
    }
    const requestedMs = Math.max(minQuarantinePauseMs, retryAfterMs ?? quarantinePauseMs);
    return Math.min(quarantinePauseMs, requestedMs);
}
