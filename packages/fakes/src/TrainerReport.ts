/** What a trainer received, by its own count. */
export interface TrainerReport {
    stepsDone: number;
    /** Samples received once and taken. */
    delivered: number;
    /** Samples of finished steps that never came. */
    missing: number;
    /** Groups or sample ids that came again under a later cursor. */
    duplicates: number;
    /** Groups whose samples were not exactly indexes 0 to size - 1, or without spans. */
    brokenGroups: number;
    /** Samples with a span older than the bound when they arrived. */
    staleViolations: number;
    stalenessMaxVersions: number;
    /** Versions behind the published one at receipt, one entry a sample. */
    stalenessVersions: number[];
    /** How long each sample's oldest version had been replaced at receipt; 0 for the newest. */
    stalenessMs: number[];
    /** Repeated reads of one cursor that gave other groups, stale ones apart. */
    rereadMismatches: number;
    /** Pages dropped for a lower fencing number than one seen. */
    fencedPages: number;
    /** Calls that rejected and were made again, by code name. */
    retries: Record<string, number>;
    /** Time without a whole step to train on, after the first step opened. */
    idleMs: number;
    trainedMs: number;
    /** From opening to whole, by step. */
    stepMs: number[];
}
