/** What is remembered of one request's content, asked and told by that request. */
export interface ContentGuard {
    /** How long it must not be sent to any sampler; 0 if it may be sent now. */
    pauseMs(): number;
    /** Whether it may be sent to one more sampler. */
    mayRetry(): boolean;
    recordSent(): void;
    recordBreak(): void;
    recordCompletion(): void;
}
