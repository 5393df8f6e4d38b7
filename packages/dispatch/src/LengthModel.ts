/** Expected lengths of a job's samples. */
export interface LengthModel {
    /** A sample of `prompt` was made and has `tokens`. */
    observe(prompt: string, tokens: number): void;
    /** Tokens still expected of a sample of `prompt` that has `produced` tokens already. */
    expectRemaining(prompt: string, produced: number, maxTokens: number): number;
    /** Length that one in a hundred samples of the job exceeds; `maxTokens` until some are known. */
    longTokens(maxTokens: number): number;
}
