/** What this process knows of a sampler from its own requests. */
export interface SamplerRecord {
    /** Monotonic start times of requests under way there. */
    sentAtMs: Set<number>;
    /** Smoothed time of whole answers. */
    latencyMs: number | undefined;
    /** Monotonic time of the last failure that was the sampler's. */
    failedAtMs: number;
}
