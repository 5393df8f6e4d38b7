/** True if a waiting sample is not to be sent yet although there is a place for it. */
export type HoldRule = (input: {
    /** Steps between the oldest one that is not whole and the sample's. */
    stepsAhead: number;
    /** Time at which it has to start to be ready in time. */
    latestStartMs: number;
    /** Time the samplers need for all that waits. */
    backlogMs: number;
    /** Run time of the job's longest samples lately. */
    longRunMs: number;
    /** The job's weighing of fresh samples (1) against trainer idle time (0). */
    freshnessWeight: number;
    nowMs: number;
}) => boolean;
