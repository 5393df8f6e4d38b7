/** A step as stored in the object API. */
export interface StepDocument {
    step: number;
    /** SHA-256 of the prompts in hex; distinguishes a repeated open from one with other prompts. */
    digest: string;
    groupSize: number;
    /** Wall time when the trainer needs the last group. */
    needAtMs: number;
    prompts: { prompt: string; maxTokens: number; }[];
}
