import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { JobId } from "@auburnarch/types/JobId";

/** Highest fencing number known for each job. */
export interface FencingTable {
    highest(job: JobId): FencingNumber | undefined;
    /** True once this incarnation has read the job's number from the object API. */
    isLearned(job: JobId): boolean;
    /** Records a number if it is higher. */
    raise(job: JobId, fencing: FencingNumber): void;
    /** Reads the current number from the object API once; rejects while the API is down. */
    learn(job: JobId): Promise<void>;
}
