import type { HoldRule } from "./HoldRule.js";

/** Jobs that do not weigh freshness above idle time hold nothing. */
const neutralWeight = 0.5;
/** Backlogs that are kept in hand at freshness weight 1; one more at 0. */
const reservedBacklogs = 1.2;

/**
 * Holds samples of later steps until they have to start to be in time, less the time for all that waits and for
 * one long sample that nobody foresaw. What is made as soon as a place is free is made from weights that are old
 * by the time the trainer reads it; one notices by staleness near `stepsAhead` versions.
 */
export const holdForFreshness: HoldRule = input => {
    const { stepsAhead, freshnessWeight, latestStartMs, backlogMs, longRunMs, nowMs } = input;
    if (stepsAhead <= 0 || freshnessWeight <= neutralWeight) {
        return false;
    }
    const reserveMs = backlogMs * (reservedBacklogs + 1 - freshnessWeight);
    return nowMs < latestStartMs - reserveMs - longRunMs;
};
