import type { TrueTime } from "@auburnarch/types/TrueTime";

/** True time from what others say of it. */
export interface TrueTimeEstimate extends TrueTime {
    /** Takes a process's time of day, or its own estimate, as it was at `monotonicMs` of this process. */
    recordReading(source: string, reportedMs: number, monotonicMs: number): void;
}
