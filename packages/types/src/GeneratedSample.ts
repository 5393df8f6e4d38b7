import type { SampleAnswer } from "./SampleAnswer.js";
import type { SampleTask } from "./SampleTask.js";

/** A complete answer to a task, as the dispatcher passes it on for verification. */
export interface GeneratedSample {
    task: SampleTask;
    answer: SampleAnswer;
}
