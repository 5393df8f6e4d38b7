import type { SampleAnswer } from "./SampleAnswer.js";
import type { SampleTask } from "./SampleTask.js";

/** A complete answer to a task, as the dispatcher hands it on for verification. */
export interface MadeSample {
    task: SampleTask;
    answer: SampleAnswer;
}
