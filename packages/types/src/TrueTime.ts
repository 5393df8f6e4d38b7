/** Milliseconds since 1970 as most machines agree on them, while the time of day of some may jump. */
export interface TrueTime {
    nowMs(): number;
    /** The true time of a moment of this process's monotonic clock. */
    atMs(monotonicMs: number): number;
}
