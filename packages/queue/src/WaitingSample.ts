import type { SampleTask } from "@auburnarch/types/SampleTask";

/** A sample waiting for a sampler, as the order sees it. */
export interface WaitingSample {
    task: SampleTask;
    /** Grows with each submitted sample. */
    arrivalOrder: number;
    /** Tokens still to be generated, by prediction at the time it was queued. */
    expectedTokens: number;
    /** Monotonic time at which it has to start to be ready in time, by prediction. */
    latestStartMs: number;
    /** Monotonic time before which it is not sent. */
    notBeforeMs: number;
}
