import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { BatchJobId } from "@auburnarch/batches/BatchJobId";

/** Records with which batch job each group of prompts was first submitted. */
interface SeenGroups {
    record(batchJob: BatchJob): void;
    /** Whether the group was first submitted with an earlier batch job. */
    isResubmitted(batchJobId: BatchJobId, group: string): boolean;
}

/**
 * Far more than the groups of the batch jobs of one minute; a group is submitted again with one of the next batch
 * jobs or never.
 */
const maxGroups = 8_192;

/** Creates the record of one process. A runner that has just taken over a trainer regards all its groups as new. */
export function createSeenGroups(): SeenGroups {
    const firstBatchJobs = new Map<string, BatchJobId>();
    return {
        record: batchJob => {
            for (const { group } of batchJob.items) {
                if (group !== undefined && !firstBatchJobs.has(group)) {
                    firstBatchJobs.set(group, batchJob.lot);
                }
            }
            while (firstBatchJobs.size > maxGroups) {
                firstBatchJobs.delete(firstBatchJobs.keys().next().value!);
            }
        },
        isResubmitted: (batchJobId, group) => (firstBatchJobs.get(group) ?? batchJobId) !== batchJobId,
    };
}
