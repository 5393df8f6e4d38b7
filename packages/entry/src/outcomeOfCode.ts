import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";

/** The only codes of family 4 after which nothing can have taken effect. */
const harmlessOutside: ReadonlySet<number> = new Set([
    resultCodes.storeThrottled.number,
    resultCodes.intentRefused.number,
    resultCodes.weightStoreThrottled.number,
]);
const firstDoubtfulFamily = 3;
const outsideFamily = 4;
const configurationFamily = 5;
const internalFamily = 7;

/**
 * Whether a request that ended with `code` ran. Family 3 and internal faults cannot tell, nor can a call to
 * an outside system that gave no answer; all others are said only before anything was done.
 */
export function outcomeOfCode(code: ResultCode): "notRun" | "unknown" {
    const family = Math.floor(code.number / 1_000);
    if (family === outsideFamily) {
        return harmlessOutside.has(code.number) ? "notRun" : "unknown";
    }
    const doubtful = family >= firstDoubtfulFamily && family < configurationFamily;
    return doubtful || family >= internalFamily ? "unknown" : "notRun";
}
