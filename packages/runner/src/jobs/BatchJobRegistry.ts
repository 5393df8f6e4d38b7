import type { RunningBatchJob } from "./RunningBatchJob.js";

/** The jobs that this runner runs. */
export interface BatchJobRegistry {
    running(): RunningBatchJob[];
    /** Looks again at which jobs are this runner's. */
    refresh(): void;
    /** Takes no job any more and hands over those it has. */
    leave(): Promise<void>;
}
