/** Engine priority of an attempt, 0 to 99, from the job's priority (1 to 10) and the time left. */
export type PriorityRule = (input: {
    jobPriority: number;
    needAtMs: number;
    nowMs: number;
    /** Expected run time of what is left, in milliseconds. */
    expectedRunMs: number;
}) => number;
