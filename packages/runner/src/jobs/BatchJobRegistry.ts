import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { CopiedRun } from "../copies/CopiedRun.js";
import type { RunningBatchJob } from "./RunningBatchJob.js";

/** The batch jobs that this runner runs. */
export interface BatchJobRegistry {
    running(): RunningBatchJob[];
    /** The batch jobs that this runner runs, with the texts of their open items. */
    listRuns(): CopiedRun[];
    /** Whether a batch job that ran here has all its results in the store. */
    isFinished(batchJobId: BatchJobId): boolean;
    /** Reevaluates which batch jobs this runner has to run. */
    refresh(): void;
    /** Takes no further batch jobs and hands over those that run here. */
    leave(): Promise<void>;
}
