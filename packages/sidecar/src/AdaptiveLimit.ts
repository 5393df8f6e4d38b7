/** Concurrency limit that follows how fast the backend server answers. */
export interface AdaptiveLimit {
    current(): number;
    /** Tells of one finished piece of work and how many ran beside it, itself included. */
    observe(unitMs: number, running: number): void;
    /** Takes over a newly described engine. */
    reset(limit: number, baselineMs: number): void;
}
