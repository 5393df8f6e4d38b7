import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";

/** The only codes of family 4 that guarantee that the call had no effect. */
const externalRefusals: ReadonlySet<number> = new Set([
    resultCodes.storeThrottled.number,
    resultCodes.intentRefused.number,
    resultCodes.weightStoreThrottled.number,
]);
const firstUncertainFamily = 3;
const externalFamily = 4;
const configurationFamily = 5;
const internalFamily = 7;

/**
 * Whether a request that ended with `code` ran. This is unknown for family 3, for internal errors and for calls to an
 * external system that received no answer; all other codes are used only before the request has any effect.
 */
export function outcomeOfCode(code: ResultCode): "notRun" | "unknown" {
    const family = Math.floor(code.number / 1_000);
    if (family === externalFamily) {
        return externalRefusals.has(code.number) ? "notRun" : "unknown";
    }
    const isUncertain = family >= firstUncertainFamily && family < configurationFamily;
    return isUncertain || family >= internalFamily ? "unknown" : "notRun";
}
