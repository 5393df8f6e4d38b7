import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { JobId } from "@auburnarch/types/JobId";
import type { FencingTable } from "./FencingTable.js";

/**
 * Creates the table. A sidecar that has just started knows no number: an order of an owner replaced long ago would look
 * like the first one, and the sampler would return to old weights. To prevent this, the current number is read before
 * the first order of a job, and orders are refused until it has been read. Samples depend on it less, since they carry
 * their minimum version.
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
