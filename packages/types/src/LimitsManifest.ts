/** Limits that hold on every entry; each has a default. */
export interface LimitsManifest {
    maxBodyBytes: number;
    maxQueuedPerTeam: number;
    defaultDeadlineMs: number;
    /** Retries and hedges may add at most this part to the first attempts. */
    retryBudgetRatio: number;
    /** At most this part of a policy's samplers swaps weights at once. */
    maxSwappingRatio: number;
    /** Interactive requests wait at most this long behind rollouts. */
    interactiveWaitMs: number;
}
