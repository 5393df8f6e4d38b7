import type { SampleId } from "@auburnarch/types/SampleId";
import type { SampleTask } from "@auburnarch/types/SampleTask";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/**
 * Runs a job's waiting samples. Each submitted task ends in exactly one call of `onMade`, unless it is withdrawn
 * or the dispatcher stops; tasks lost to crashes, swaps and refusals are tried again within the retry budget.
 */
export interface Dispatcher {
    submit(tasks: SampleTask[]): void;
    /** Ends tasks whose samples are no longer wanted; their engine time is overhead. */
    withdraw(samples: SampleId[]): void;
    /** What is made of a wanted sample so far; empty for one that is not wanted. */
    spansOf(sample: SampleId): TokenSpan[];
    /** Tells of a newly published version and the oldest version that may still be used from now on. */
    raiseMinVersion(published: WeightVersion, minVersion: WeightVersion): void;
    waiting(): number;
    running(): number;
    /** Cancels everything in flight and starts nothing more. */
    stop(): Promise<void>;
}
