/** Bounds what retries and hedges add to the load. */
export interface RetryBudget {
    /** Counts a first attempt. */
    noteFirst(): void;
    /** Takes one retry or hedge; false if none is left. */
    take(): boolean;
    /** Retries left now. */
    left(): number;
}
