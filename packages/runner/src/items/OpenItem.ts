import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";

/** An item that is waiting or running at this runner. */
export interface OpenItem {
    batchJob: BatchJob;
    /** Time after its submission at which the batch job is due; undefined if its route states none. */
    deadlineMs: number | undefined;
    /** Expected number of events that are still to be generated. */
    remainingEvents: number;
    /** The sampler that runs it; undefined while it waits. */
    sampler: IncarnationId | undefined;
}
