import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { PolicyId } from "@auburnarch/types/PolicyId";

/** State of an open step, as its runner reports it to peers. */
export interface StepStatus {
    policy: PolicyId;
    lot: BatchJobId;
    /** How far its trainer is behind schedule. */
    latenessMs: number;
    /**
     * Time until the step is due, less the expected time of its longest remaining item; negative if it can no longer
     * be on time.
     */
    slackMs: number;
    waitingItems: number;
    runningItems: number;
    /** Samplers that run the last items of a late trainer's step, the longest item first. */
    criticalSamplers: IncarnationId[];
}
