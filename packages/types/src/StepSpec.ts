import type { StepNumber } from "./StepNumber.js";

/** A step as opened by its trainer, with one prompt per group. */
export interface StepSpec {
    step: StepNumber;
    prompts: { prompt: string; maxTokens: number; }[];
    /** Wall time at which the trainer needs the last group; by default the job's `stepNeedMs` after opening. */
    needAtMs: number | undefined;
}
