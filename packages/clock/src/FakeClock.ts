import type { Clock } from "@auburnarch/types/Clock";

/** A clock that advances only on request. Timers that are due at the same time fire in the order they were started. */
export interface FakeClock extends Clock {
    /** Fires all timers due within `ms` from now; promises settle between two timers. */
    advance(ms: number): Promise<void>;
    /** Fires timers until `done` returns true or `limitMs` have passed; resolves to the last result of `done`. */
    runUntil(done: () => boolean, limitMs: number): Promise<boolean>;
    /** Number of timers that have neither fired nor been cancelled. */
    pendingTimers(): number;
}
