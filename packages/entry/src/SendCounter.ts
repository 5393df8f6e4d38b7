/** Sends of this entry to one sampler. */
export interface SendCounter {
    attempts(): number;
    tokens(): number;
    /** Sends of the last `ageMs`. */
    sentWithin(ageMs: number): number;
    begin(expectedTokens: number): { progress(tokens: number): void; end(): void; };
}
