/** Concurrency limit that adapts to the speed of the backend server. */
export interface AdaptiveLimit {
    current(): number;
    /** Records the time per unit of one finished request, and how many requests ran at once, itself included. */
    observe(unitMs: number, running: number): void;
    /** Starts over for a newly described engine. */
    reset(limit: number, baselineMs: number): void;
}
