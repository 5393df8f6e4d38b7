import type { Clock } from "@auburnarch/types/Clock";

/** Limits of one kind of call to the object API. */
export interface RateLimiterOptions {
    clock: Clock;
    perSecond: number;
    /** Maximum number of waiting calls; further ones are refused. */
    maxWaiting: number;
    /** Maximum time that a call waits before it is refused. */
    maxWaitMs: number;
    /** Maximum number of concurrent calls, so that they do not pile up while the store is slow. */
    maxInFlight: number;
}
