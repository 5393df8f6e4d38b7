/** The measures of one policy on one scenario and seed. Times in milliseconds of the fake clock. */
export interface RunResult {
    scenario: string;
    policy: string;
    seed: number;
    isFinished: boolean;
    /** Mean over the jobs of waiting time ÷ run time of the trainer. */
    idleRatio: number;
    stalenessVersionsMean: number;
    stalenessVersionsP99: number;
    stalenessVersionsMax: number;
    stalenessMsMean: number;
    stalenessMsP99: number;
    stalenessMsMax: number;
    /** Delivered samples older than the bound. */
    overBound: number;
    stepMsP50: number;
    stepMsP99: number;
    interactiveMsP99: number;
    /** The same without rollouts beside the interactive requests. */
    interactiveAloneMsP99: number;
    interactiveFailed: number;
    /** Engine time of all samples ÷ delivered samples. */
    engineMsPerSample: number;
    /** Part of the engine's work on samples that was thrown away or done again. */
    overheadRatio: number;
    /** Largest shortfall of a team against its share while it had demand. */
    shareError: number;
    /** Two-sample Kolmogorov-Smirnov statistic of generated against delivered lengths, and whether it rejects at 1%. */
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
