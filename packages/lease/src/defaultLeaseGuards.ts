import type { LeaseGuards } from "./LeaseGuards.js";

/** Part of the term an observer waits longer, for clocks that run at slightly different speeds. */
const clockDriftRatio = 0.05;

/**
 * The holder counts from before its renewal was sent, the observer from after it saw the change: whatever the
 * latency, the holder stops first.
 */
export const defaultLeaseGuards: LeaseGuards = {
    isWithinLease: (ageMs, ttlMs) => ageMs < ttlMs,
    takeOverAfterMs: ttlMs => ttlMs * (1 + clockDriftRatio),
};
