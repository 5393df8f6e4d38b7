import type { TrueTime } from "@auburnarch/types/TrueTime";

/** An estimate of true time from the clocks of other processes. */
export interface TrueTimeEstimate extends TrueTime {
    /** Records a process's time of day, or its own estimate of true time, as of `monotonicMs` on this process's clock. */
    recordReading(source: string, reportedMs: number, monotonicMs: number): void;
}
