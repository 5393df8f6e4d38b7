import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";

/** Pause of a sample that the retry budget does not allow yet. */
const budgetPauseMs = 500;
/** After so many crashes a sample pauses until every process knows what it is suspected of. */
const maxCrashes = 2;
const crashPauseMs = 10_000;

/** How long a sample waits before its next attempt after one that ended without an answer. */
export function pauseAfterFailure(code: ResultCode, failures: number, isWithinBudget: boolean): number {
    const isKiller = code === resultCodes.engineCrashed && failures >= maxCrashes;
    const pauseMs = isKiller ? crashPauseMs : 0;
    return isWithinBudget ? pauseMs : Math.max(pauseMs, budgetPauseMs);
}
