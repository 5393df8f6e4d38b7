/** True if a waiting sample is not sent yet although a sampler has room for it. */
export type HoldRule = (input: {
    /** Number of steps between the oldest incomplete one and the sample's. */
    stepsAhead: number;
    /** Latest time at which the sample has to start to be ready in time. */
    latestStartMs: number;
    /** Time the samplers need for all waiting samples. */
    backlogMs: number;
    /** Run time of the job's longest recent samples. */
    longRunMs: number;
    /** The job's preference for fresh samples (1) over low trainer idle time (0). */
    freshnessWeight: number;
    nowMs: number;
}) => boolean;
