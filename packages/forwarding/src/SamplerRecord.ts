/** What this process knows about a sampler from its own requests. */
export interface SamplerRecord {
    /** Monotonic start times of the requests in flight at the sampler. */
    sentAtMs: Set<number>;
    /** Smoothed latency of complete answers. */
    latencyMs: number | undefined;
    /** Monotonic time of the last attempt that failed without being cancelled here. */
    failedAtMs: number;
}
