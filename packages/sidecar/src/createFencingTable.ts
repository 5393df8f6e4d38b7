import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { JobId } from "@auburnarch/types/JobId";
import type { FencingTable } from "./FencingTable.js";

/**
 * Makes the table. A sidecar just started knows no number: an order of an owner long replaced would look like a
 * first one, and the sampler would go back to old weights. Reading the present number before the first order of a
 * job closes this; until it is read, orders are refused. Samples need it less: they carry their least version.
 */
export function createFencingTable(readFencing: (job: JobId) => Promise<FencingNumber>): FencingTable {
    const highest = new Map<JobId, FencingNumber>();
    const learned = new Set<JobId>();

    function raise(job: JobId, fencing: FencingNumber): void {
        const known = highest.get(job);
        if (known === undefined || fencing > known) {
            highest.set(job, fencing);
        }
    }

    return {
        highest: job => highest.get(job),
        isLearned: job => learned.has(job),
        raise,
        learn: async job => {
            if (learned.has(job)) {
                return;
            }
            raise(job, await readFencing(job));
            learned.add(job);
        },
    };
}
