import type { GeneratedSample } from "@auburnarch/types/GeneratedSample";
import type { SampleTask } from "@auburnarch/types/SampleTask";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** Which samples of a job's steps are made and delivered: the part of an owner that the policy needs. */
export interface StepLedger {
    open(tasks: SampleTask[]): void;
    take(made: GeneratedSample): void;
    /**
     * Delivers the whole groups of a step to the trainer that reads it. Groups that have gone over the bound
     * since they were made are given back to be made again.
     */
    deliver(step: number, minVersion: WeightVersion): {
        delivered: GeneratedSample[];
        regenerate: SampleTask[];
    };
    isDelivered(step: number): boolean;
    /** Samples opened and not made yet. */
    countPending(): number;
}
