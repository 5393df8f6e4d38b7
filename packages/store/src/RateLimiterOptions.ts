import type { Clock } from "@auburnarch/types/Clock";

/** Bounds of one kind of call to the object API. */
export interface RateLimiterOptions {
    clock: Clock;
    perSecond: number;
    /** Calls that may wait for their turn; one more is refused. */
    maxWaiting: number;
    /** How long a call waits for its turn before it is refused. */
    maxWaitMs: number;
    /** Calls under way at once, so that a slow store does not pile them up. */
    maxInFlight: number;
}
