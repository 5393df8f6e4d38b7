import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";

/** The failures of a sample so far. */
interface FailedWork {
    failures: number;
    fruitless: number;
}

/** Pause of a sample whose retry exceeds the retry budget. */
const budgetPauseMs = 500;
/** After this many crashes a sample pauses until every process has received its suspected content digest. */
const maxCrashes = 2;
const crashPauseMs = 10_000;
const firstBreakPauseMs = 250;
const maxBreakPauseMs = 1_000;
/** Consecutive attempts that broke off without any output and are followed by the next one at once. */
const breaksWithoutPause = 2;

/**
 * A sample is not suspected for the samplers that broke it off, so it only waits long enough not to be sent in a loop while
 * all of them break off what they are sent.
 */
const pauseAfterFruitless = (breaks: number): number =>
    breaks <= breaksWithoutPause
        ? 0
        : Math.min(maxBreakPauseMs, firstBreakPauseMs * 2 ** (breaks - breaksWithoutPause - 1));

/** Pause of a sample before its next attempt, after one that ended without an answer. */
export function pauseAfterFailure(code: ResultCode, work: FailedWork, isWithinBudget: boolean): number {
    const isCrashInducing = code === resultCodes.engineCrashed && work.failures >= maxCrashes;
    const pauseMs = Math.max(isCrashInducing ? crashPauseMs : 0, pauseAfterFruitless(work.fruitless));
    return isWithinBudget ? pauseMs : Math.max(pauseMs, budgetPauseMs);
}
