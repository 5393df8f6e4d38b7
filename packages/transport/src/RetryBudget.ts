/** Bounds the load that retries and hedges add. */
export interface RetryBudget {
    /** Records a first attempt, which adds to the budget. */
    recordFirstAttempt(): void;
    /** Spends one retry or hedge; false if none is left. */
    tryTake(): boolean;
    /** Whole retries that are currently available. */
    remaining(): number;
}
