/** What one job's trainer saw in one run. */
export interface JobMeasures {
    job: string;
    team: string;
    /** Time the trainer waited for samples, from its second step on, and the time this was measured over. */
    idleMs: number;
    /** Waiting time before each step. */
    waitedMs: number[];
    spanMs: number;
    /** From opening a step to its last group made, by step. */
    stepMs: number[];
    /** By delivered sample: versions behind the newest at delivery, oldest span. */
    stalenessVersions: number[];
    /** By delivered sample: time since the oldest span's version was superseded, 0 if it still is the newest. */
    stalenessMs: number[];
    overBound: number;
    delivered: number;
    deliveredTokens: number[];
    regenerated: number;
    isFinished: boolean;
}
