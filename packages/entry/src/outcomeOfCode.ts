import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";

/** The only codes of family 4 after which nothing can have taken effect. */
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
 * Whether a request that ended with `code` ran. Family 3 and internal faults cannot tell, nor can a call to
 * an outside system that gave no answer; all others are said only before anything was done.
 */
export function outcomeOfCode(code: ResultCode): "notRun" | "unknown" {
    const family = Math.floor(code.number / 1_000);
    if (family === externalFamily) {
        return externalRefusals.has(code.number) ? "notRun" : "unknown";
    }
    const isUncertain = family >= firstUncertainFamily && family < configurationFamily;
    return isUncertain || family >= internalFamily ? "unknown" : "notRun";
}
