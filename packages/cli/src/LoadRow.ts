/** Weight loads of one policy, summarized from logs. */
export interface LoadRow {
    policy: string;
    loads: number;
    failed: number;
    /** Number of samplers that loaded the policy. */
    samplers: number;
    /**
     * Loads on a sampler whose previous load in the logs was of another policy; a sampler's first load does not count.
     */
    changed: number;
    /** Mean duration of the loads that succeeded; undefined if none did. */
    meanMs: number | undefined;
    /** Total duration of all loads, including failed ones. */
    totalMs: number;
}
