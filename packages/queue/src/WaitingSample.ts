import type { SampleTask } from "@auburnarch/types/SampleTask";

/** A sample that waits for a sampler, with the values by which it is ordered. */
export interface WaitingSample {
    task: SampleTask;
    /** Increases with each submitted sample. */
    arrivalOrder: number;
    /** Predicted number of tokens still to be generated, from when the sample was queued. */
    expectedTokens: number;
    /** Predicted monotonic time by which it has to start to be ready in time. */
    latestStartMs: number;
    /** Monotonic time before which it must not be sent. */
    notBeforeMs: number;
}
