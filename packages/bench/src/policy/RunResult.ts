/** Measures of one policy on one scenario and seed. Times are in milliseconds of the fake clock, except `runMs`. */
export interface RunResult {
    scenario: string;
    policy: string;
    seed: number;
    isFinished: boolean;
    /** Mean over the jobs of the trainer's waiting time divided by its run time. */
    idleRatio: number;
    stalenessVersionsMean: number;
    stalenessVersionsP99: number;
    stalenessVersionsMax: number;
    stalenessMsMean: number;
    stalenessMsP99: number;
    stalenessMsMax: number;
    /** Delivered samples that exceed the staleness bound. */
    overBound: number;
    stepMsP50: number;
    stepMsP99: number;
    interactiveMsP99: number;
    /** The same without concurrent rollouts. */
    interactiveAloneMsP99: number;
    interactiveFailed: number;
    /** Engine time of all samples divided by the number of delivered samples. */
    engineMsPerSample: number;
    /** Fraction of the engine work on samples that was discarded or repeated. */
    overheadRatio: number;
    /** Largest shortfall of a team below its guaranteed share while it had demand. */
    shareError: number;
    /**
     * Two-sample Kolmogorov-Smirnov statistic of generated and delivered lengths; `isLengthBiased` is whether the test
     * rejects equality at 1%.
     */
    lengthStatistic: number;
    isLengthBiased: boolean;
    boundIdleRatio: number;
    boundStepMsP50: number;
    boundStepMsP99: number;
    /** Waiting time before each step, by job. */
    waitedMs: number[][];
    violations: number;
    runMs: number;
}
