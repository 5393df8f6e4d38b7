/** Reserves a sampler for the one trial run of a quarantined content. */
export interface TrialReservation {
    /**
     * Starts no other work and waits until all running work has ended. The returned function releases the reservation.
     * Undefined if another trial has reserved the sampler, or if it does not become idle within half of the trial's
     * budget, which leaves the other half for an attempt at another sampler.
     */
    reserve(budgetMs: number, signal: AbortSignal): Promise<(() => void) | undefined>;
    isReserved(): boolean;
}
