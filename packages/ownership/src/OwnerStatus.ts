import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { JobId } from "@auburnarch/types/JobId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** Status of a job as shown by `auburnarch jobs`. */
export interface OwnerStatus {
    job: JobId;
    fencing: FencingNumber;
    publishedVersion: WeightVersion;
    steps: {
        step: number;
        groups: number;
        ready: number;
        delivered: number;
        waiting: number;
        running: number;
        /** Wall time when the trainer needs the last group. */
        needAtMs: number;
    }[];
    /** Engine time of acknowledged samples. */
    deliveredEngineMs: number;
    /** Engine time of samples that the team itself abandoned. */
    discardedEngineMs: number;
    /** Acknowledged samples and their tokens. */
    deliveredSamples: number;
    deliveredTokens: number;
}
