import type { LeaseGuards } from "./LeaseGuards.js";

/** Part of the term that an observer waits in addition, because clocks run at slightly different speeds. */
const clockDriftRatio = 0.05;

/**
 * The holder measures from before its renewal was sent, an observer from after it saw the change. The holder therefore
 * stops first, whatever the latency.
 */
export const defaultLeaseGuards: LeaseGuards = {
    isWithinLease: (ageMs, ttlMs) => ageMs < ttlMs,
    takeOverAfterMs: ttlMs => ttlMs * (1 + clockDriftRatio),
};
