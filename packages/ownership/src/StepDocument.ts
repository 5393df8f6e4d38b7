/** A step as it stands in the object API. */
export interface StepDocument {
    step: number;
    /** SHA-256 in hex of the prompts, to tell the same step opened again from another one. */
    digest: string;
    groupSize: number;
    /** Wall time when the trainer needs the last group. */
    needAtMs: number;
    prompts: { prompt: string; maxTokens: number; }[];
}
