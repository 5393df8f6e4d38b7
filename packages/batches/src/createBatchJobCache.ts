import type { BatchJob } from "./BatchJob.js";
import type { BatchJobId } from "./BatchJobId.js";
import type { BatchJobStore } from "./BatchJobStore.js";

interface BatchJobCache {
    /** Adds a batch job that this process has just accepted: its client also requests its items here. */
    add(batchJob: BatchJob): void;
    read(batchJobId: BatchJobId): Promise<BatchJob | undefined>;
}

/** Submitted batch jobs whose items clients request; about 100 kB each. */
const maxCachedBatchJobs = 24;

/**
 * Creates a read-through cache of the batch jobs read last. Submitted batch jobs never change, so no entry becomes
 * stale.
 */
export function createBatchJobCache(store: Pick<BatchJobStore, "readBatchJob">): BatchJobCache {
    const batchJobs = new Map<BatchJobId, BatchJob>();

    function add(batchJob: BatchJob): void {
        batchJobs.delete(batchJob.lot);
        batchJobs.set(batchJob.lot, batchJob);
        if (batchJobs.size > maxCachedBatchJobs) {
            batchJobs.delete(batchJobs.keys().next().value!);
        }
    }

    return {
        add,
        read: async batchJobId => {
            const cached = batchJobs.get(batchJobId);
            if (cached !== undefined) {
                return cached;
            }
            const found = await store.readBatchJob(batchJobId);
            if (found !== undefined) {
                add(found);
            }
            return found;
        },
    };
}
