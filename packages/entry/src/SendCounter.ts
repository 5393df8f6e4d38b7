/** Counts this entry's sends to one sampler. */
export interface SendCounter {
    attempts(): number;
    tokens(): number;
    /** Number of sends in the last `ageMs` milliseconds. */
    sentWithin(ageMs: number): number;
    begin(expectedTokens: number): { progress(tokens: number): void; end(): void; };
}
