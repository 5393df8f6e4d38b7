import type { SampleId } from "@auburnarch/types/SampleId";
import type { SampleTask } from "@auburnarch/types/SampleTask";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { UnfinishedSample } from "./UnfinishedSample.js";

/**
 * Runs a job's waiting samples. Each submitted task ends in exactly one call of `onSampleGenerated`, unless it is
 * withdrawn or the dispatcher stops. Attempts with an unknown outcome, such as after a crash, are retried within the
 * retry budget; refused and preempted ones are queued again.
 */
export interface Dispatcher {
    submit(tasks: SampleTask[]): void;
    /** Ends tasks whose samples are no longer needed; their engine time counts as overhead. */
    withdraw(samples: SampleId[]): void;
    /** Spans generated so far for an unfinished sample; empty for any other sample. */
    spansOf(sample: SampleId): TokenSpan[];
    /** Samples that wait or run, in the order of their submission. */
    listUnfinished(): UnfinishedSample[];
    /** Sets the newly published version and the lowest version that may still be used from now on. */
    raiseMinVersion(published: WeightVersion, minVersion: WeightVersion): void;
    waiting(): number;
    running(): number;
    /** Cancels all running attempts and starts no more. */
    stop(): Promise<void>;
}
