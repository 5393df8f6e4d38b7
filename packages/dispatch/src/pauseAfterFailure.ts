import { resultCodes } from "@auburnarch/errors/resultCodes";
import { pauseAfterBreaks } from "@auburnarch/transport/pauseAfterBreaks";
import type { ResultCode } from "@auburnarch/types/ResultCode";

/** How an attempt ended, and what went before it. */
interface FailedWork {
    failures: number;
    fruitless: number;
}

/** Pause of a sample that the retry budget does not allow yet. */
const budgetPauseMs = 500;
/** After so many crashes a sample pauses until every process knows what it is suspected of. */
const maxCrashes = 2;
const crashPauseMs = 10_000;

/** How long a sample waits before its next attempt after one that ended without an answer. */
export function pauseAfterFailure(code: ResultCode, work: FailedWork, isWithinBudget: boolean): number {
    const isCrashInducing = code === resultCodes.engineCrashed && work.failures >= maxCrashes;
    const pauseMs = Math.max(isCrashInducing ? crashPauseMs : 0, pauseAfterBreaks(work.fruitless));
    return isWithinBudget ? pauseMs : Math.max(pauseMs, budgetPauseMs);
}
