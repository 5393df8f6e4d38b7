import type { HoldRule } from "./HoldRule.js";

/** Up to this weight, a job does not prefer freshness over idle time, and no samples are held. */
const neutralWeight = 0.5;
/** Time reserve in multiples of the backlog at freshness weight 1; one more at weight 0. */
const reservedBacklogs = 1.2;

/**
 * Holds samples of later steps until their latest start time, minus a reserve for the backlog and for one
 * unexpectedly long sample. A sample that is generated as soon as a sampler has room uses weights that are outdated
 * when the trainer reads it; the symptom is a staleness near `stepsAhead` versions.
 */
export const holdForFreshness: HoldRule = input => {
    const { stepsAhead, freshnessWeight, latestStartMs, backlogMs, longRunMs, nowMs } = input;
    if (stepsAhead <= 0 || freshnessWeight <= neutralWeight) {
        return false;
    }
    const reserveMs = backlogMs * (reservedBacklogs + 1 - freshnessWeight);
    return nowMs < latestStartMs - reserveMs - longRunMs;
};
