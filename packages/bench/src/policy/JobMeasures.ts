/** Measures of one job's trainer in one run. */
export interface JobMeasures {
    job: string;
    team: string;
    /**
     * Time the trainer waited for samples, from its second step on; `spanMs` is the time over which it was measured.
     */
    idleMs: number;
    /** Waiting time before each step. */
    waitedMs: number[];
    spanMs: number;
    /** Time from opening a step to the generation of its last sample, by step. */
    stepMs: number[];
    /** By delivered sample: versions between its oldest span and the newest version at delivery. */
    stalenessVersions: number[];
    /** By delivered sample: time since the version of its oldest span was superseded; 0 if it is still the newest. */
    stalenessMs: number[];
    overBound: number;
    delivered: number;
    deliveredTokens: number[];
    regenerated: number;
    isFinished: boolean;
}
