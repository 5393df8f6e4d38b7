import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { StartReport } from "@auburnarch/usage/StartReport";
import type { RunningBatchJob } from "../jobs/RunningBatchJob.js";

/** What a runner tells its peers when they probe it. */
export interface RunnerStatus {
    /** Unique to one start of the process. */
    incarnation: string;
    failureDomain: FailureDomain;
    /** Jobs whose items it runs. */
    running: RunningBatchJob[];
    /** Jobs that it ran lately and whose results it still has. */
    keptLots: BatchJobId[];
    /** Runs that it has out, by the incarnation of their sampler. */
    sent: Record<string, number>;
    /** It gives samplers their orders. */
    holdsWeights: boolean;
    /** It shuts down, or its VM is to be emptied: others take its jobs. */
    isLeaving: boolean;
    /** Milliseconds since it could last use the store; it records nothing meanwhile. */
    storeSilentMs: number;
    /** Its time of day; undefined from a process of an earlier version. */
    wallMs?: number;
    /** What gateways told it, where it was asked for. */
    starts?: StartReport[];
}
