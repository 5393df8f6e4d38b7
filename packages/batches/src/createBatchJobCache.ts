import type { BatchJob } from "./BatchJob.js";
import type { BatchJobId } from "./BatchJobId.js";
import type { BatchJobStore } from "./BatchJobStore.js";

interface BatchJobCache {
    /** Keeps a job that was just accepted here: its client asks for its items here too. */
    add(batchJob: BatchJob): void;
    read(batchJobId: BatchJobId): Promise<BatchJob | undefined>;
}

/** Jobs as they were submitted, of which clients ask for items; about 100 kB each. */
const maxCachedBatchJobs = 24;

/** Makes the reader of submitted jobs, which keeps those it read last: they never change. */
export function createBatchJobCache(store: Pick<BatchJobStore, "readLot">): BatchJobCache {
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
            const found = await store.readLot(batchJobId);
            if (found !== undefined) {
                add(found);
            }
            return found;
        },
    };
}
