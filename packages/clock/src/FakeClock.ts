import type { Clock } from "@auburnarch/types/Clock";

/** A clock that moves only when told to, firing timers in time order and, at one time, in the order set. */
export interface FakeClock extends Clock {
    /** Fires everything due up to `ms` from now, letting promises settle between timers. */
    advance(ms: number): Promise<void>;
    /** Fires timers until `done` holds or `limitMs` have passed; true if `done` held. */
    runUntil(done: () => boolean, limitMs: number): Promise<boolean>;
    /** Timers still set. */
    pendingTimers(): number;
}
