/** Time since 1970 as agreed on by most machines, while the wall clock of a single machine may jump. */
export interface TrueTime {
    /** Milliseconds since 1970-01-01 UTC. */
    nowMs(): number;
    /** Converts a time of this process's monotonic clock. */
    atMs(monotonicMs: number): number;
}
