import { resultCodes } from "@auburnarch/errors/resultCodes";
import { pauseAfterBreaks } from "@auburnarch/transport/pauseAfterBreaks";
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

/** Pause of a sample before its next attempt, after one that ended without an answer. */
export function pauseAfterFailure(code: ResultCode, work: FailedWork, isWithinBudget: boolean): number {
    const isCrashInducing = code === resultCodes.engineCrashed && work.failures >= maxCrashes;
    const pauseMs = Math.max(isCrashInducing ? crashPauseMs : 0, pauseAfterBreaks(work.fruitless));
    return isWithinBudget ? pauseMs : Math.max(pauseMs, budgetPauseMs);
}
