import type { StepNumber } from "./StepNumber.js";

/** A step as its trainer opens it: one prompt a group. */
export interface StepSpec {
    step: StepNumber;
    prompts: { prompt: string; maxTokens: number; }[];
    /** Wall time when the trainer needs the last group; undefined takes the job's `stepNeedMs` from opening. */
    needAtMs: number | undefined;
}
