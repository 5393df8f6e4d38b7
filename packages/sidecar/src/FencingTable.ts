import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { JobId } from "@auburnarch/types/JobId";

/** Highest fencing number known for each job. */
export interface FencingTable {
    highest(job: JobId): FencingNumber | undefined;
    /** True once the object API's number of the job has been read by this incarnation. */
    isLearned(job: JobId): boolean;
    /** Takes a number if it is higher. */
    raise(job: JobId, fencing: FencingNumber): void;
    /** Reads the present number from the object API once; rejects while that is down. */
    learn(job: JobId): Promise<void>;
}
