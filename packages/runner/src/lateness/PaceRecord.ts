/** Events of a sampler and the time that its runs took for them, both with decreasing weight of older ones. */
export interface PaceRecord {
    events: number;
    runMs: number;
    /** Monotonic time of the latest event. */
    atMs: number;
}
