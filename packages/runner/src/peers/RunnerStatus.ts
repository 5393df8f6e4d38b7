import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { StartReport } from "@auburnarch/usage/StartReport";
import type { RunningBatchJob } from "../jobs/RunningBatchJob.js";
import type { StepStatus } from "../lateness/StepStatus.js";

/** A runner's answer to a probe of a peer. */
export interface RunnerStatus {
    /** Unique to one start of the process. */
    incarnation: string;
    failureDomain: FailureDomain;
    /** Batch jobs whose items it runs. */
    running: RunningBatchJob[];
    /** Batch jobs that it ran recently and whose results it still has. */
    keptLots: BatchJobId[];
    /** Number of its runs in flight, by incarnation of the sampler. */
    sent: Record<string, number>;
    /** It holds the duties and orders samplers to load weights. */
    holdsWeights: boolean;
    /** It is shutting down or its VM is being retired: others take over its batch jobs. */
    isLeaving: boolean;
    /**
     * Milliseconds since it could last use the store, by its own calls or through a peer; it records nothing in the
     * meantime.
     */
    storeSilentMs: number;
    /**
     * How it reaches the store by its own calls, without peers. Undefined from a process of an earlier version, whose
     * calls are all its own.
     */
    storeReach?: { silentMs: number; unansweredMs: number; };
    /** Its wall-clock time; undefined from a process of an earlier version. */
    wallMs?: number;
    /** Counts of started requests that gateways reported to it; present if they were requested. */
    starts?: StartReport[];
    /** Its open steps; present if it gives priority to steps of late trainers. */
    steps?: StepStatus[];
    /** Events per second of one run by incarnation of the sampler, as it observed within 10 s; present likewise. */
    paces?: Record<string, number>;
}
