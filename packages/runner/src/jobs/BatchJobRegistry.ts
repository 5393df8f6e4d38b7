import type { RunningBatchJob } from "./RunningBatchJob.js";

/** The batch jobs that this runner runs. */
export interface BatchJobRegistry {
    running(): RunningBatchJob[];
    /** Reevaluates which batch jobs this runner has to run. */
    refresh(): void;
    /** Takes no further batch jobs and hands over those that run here. */
    leave(): Promise<void>;
}
