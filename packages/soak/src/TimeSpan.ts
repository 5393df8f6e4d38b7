/** Period on the monotonic clock. */
export interface TimeSpan {
    fromMs: number;
    /** Infinity while the period lasts. */
    untilMs: number;
}
