/** Engine priority of an attempt, 0 to 99, from the job's priority (1 to 10) and the time until the need date. */
export type PriorityRule = (input: {
    jobPriority: number;
    needAtMs: number;
    nowMs: number;
    /** Expected remaining run time. */
    expectedRunMs: number;
}) => number;
