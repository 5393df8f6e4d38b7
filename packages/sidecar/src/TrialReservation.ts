/** Keeps a sampler free of other work while a refused content has its one run there. */
export interface TrialReservation {
    /**
     * Lets nothing else start and waits until all that runs has ended. The result ends the hold; undefined if another
     * trial holds the sampler or it is not idle within half of the trial's budget, which leaves it the other half.
     */
    reserve(budgetMs: number, signal: AbortSignal): Promise<(() => void) | undefined>;
    isReserved(): boolean;
}
