/** Predicts the lengths of a job's samples. */
export interface LengthModel {
    /** Records that a finished sample of `prompt` has `tokens`. */
    observe(prompt: string, tokens: number): void;
    /** Tokens still expected for a sample of `prompt` that has `produced` tokens. */
    expectRemaining(prompt: string, produced: number, maxTokens: number): number;
    /** 99th percentile of the job's sample lengths; `maxTokens` until enough samples are known. */
    longTokens(maxTokens: number): number;
}
