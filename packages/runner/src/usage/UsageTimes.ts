/** Length of windows, and when their reports are due. */
export interface UsageTimes {
    windowMs: number;
    /** A report is due this long after the end of its window. */
    dueMs: number;
}
