/** Counts of what a trainer received. */
export interface TrainerReport {
    stepsDone: number;
    /** Distinct samples received. */
    delivered: number;
    /** Samples of finished steps that were never delivered. */
    missing: number;
    /** Groups or sample ids that were delivered again under a later cursor. */
    duplicates: number;
    /** Groups whose samples did not have exactly the indexes 0 to size - 1, or lacked spans or the expected text. */
    brokenGroups: number;
    /** Samples with a span that exceeded the staleness limit when they arrived. */
    staleViolations: number;
    stalenessMaxVersions: number;
    /** Versions behind the published one at receipt, one entry per sample. */
    stalenessVersions: number[];
    /** Time since each sample's oldest version was superseded, at receipt; 0 for the newest version. */
    stalenessMs: number[];
    /** Groups that a repeated read of the same cursor did not return unchanged, except stale ones. */
    rereadMismatches: number;
    /** Pages dropped because a higher fencing number had been seen. */
    fencedPages: number;
    /** Calls that rejected and were retried, by code name. */
    retries: Record<string, number>;
    /** Time spent waiting for a complete step to train on, after the first step was opened. */
    idleMs: number;
    trainedMs: number;
    /** Time from opening to completion of each step. */
    stepMs: number[];
}
