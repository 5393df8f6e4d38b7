/** Bounds what retries and hedges add to the load. */
export interface RetryBudget {
    /** Counts a first attempt. */
    recordFirstAttempt(): void;
    /** Takes one retry or hedge; false if none is left. */
    tryTake(): boolean;
    /** Retries left now. */
    remaining(): number;
}
