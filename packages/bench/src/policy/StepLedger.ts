import type { GeneratedSample } from "@auburnarch/types/GeneratedSample";
import type { SampleTask } from "@auburnarch/types/SampleTask";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** Tracks which samples of a job's steps are generated and delivered: the part of an owner that the benchmark needs. */
export interface StepLedger {
    open(tasks: SampleTask[]): void;
    take(made: GeneratedSample): void;
    /**
     * Delivers the complete groups of a step to its trainer. Samples that have exceeded the staleness bound since they
     * were generated are returned in `regenerate`.
     */
    deliver(step: number, minVersion: WeightVersion): {
        delivered: GeneratedSample[];
        regenerate: SampleTask[];
    };
    isDelivered(step: number): boolean;
    /** Number of samples that are opened but not generated yet. */
    countPending(): number;
}
