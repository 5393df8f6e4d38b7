/** Limits that apply on every entry; each has a default. */
export interface LimitsManifest {
    maxBodyBytes: number;
    maxQueuedPerTeam: number;
    defaultDeadlineMs: number;
    /** Retries and hedges together, as a ratio of the first attempts, at most. */
    retryBudgetRatio: number;
    /** Share of a policy's samplers that may swap weights at the same time, at most. */
    maxSwappingRatio: number;
    /** Longest time an interactive request waits for rollouts. */
    interactiveWaitMs: number;
}
