import { resultCodes } from "@auburnarch/errors/resultCodes";
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
/**
 * After so many attempts in a row that broke off with nothing made, a sample most likely kills what runs it. Where
 * samplers crash or are cut off for other reasons most break off once: none of 13 samples did so twice on a day of
 * trouble with 20 VMs, 10 of some hundred paused for 1 s on one with 74, and 2 of these for 10 s.
 */
const maxFruitless = 3;
const fruitlessPauseMs = 1_000;
const fruitlessGrowth = 10;
const longestPauseMs = 3_600_000;

/**
 * Without it, where no sidecar tells a crash from a cut, a sample that kills samplers takes down each one as soon as it
 * is back, with what runs beside it, and the others of its step are never made. The pauses of 1, 10 and 100 s leave it
 * three retries in 18 minutes.
 */
function pauseOfFruitless(fruitless: number): number {
    if (fruitless < maxFruitless) {
        return 0;
    }
    return Math.min(longestPauseMs, fruitlessPauseMs * fruitlessGrowth ** (fruitless - maxFruitless));
}

/** How long a sample waits before its next attempt after one that ended without an answer. */
export function pauseAfterFailure(code: ResultCode, work: FailedWork, isWithinBudget: boolean): number {
    const isKiller = code === resultCodes.engineCrashed && work.failures >= maxCrashes;
    const pauseMs = Math.max(isKiller ? crashPauseMs : 0, pauseOfFruitless(work.fruitless));
    return isWithinBudget ? pauseMs : Math.max(pauseMs, budgetPauseMs);
}
