import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { BatchJobId } from "@auburnarch/batches/BatchJobId";

/** Which job each group of prompts came with first. */
interface SeenGroups {
    record(batchJob: BatchJob): void;
    /** Whether the group came with an earlier job than this. */
    isResubmitted(batchJobId: BatchJobId, group: string): boolean;
}

/** Far above the groups of the jobs of a minute; groups come again with one of the next jobs or never. */
const maxGroups = 8_192;

/** Makes the record of one process. A runner that has just taken a trainer over takes all its groups for new. */
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
