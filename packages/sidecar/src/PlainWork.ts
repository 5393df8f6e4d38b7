/** An interactive or plain request that holds a place at the backend server. */
export interface PlainWork {
    signal: AbortSignal;
    abort(): void;
    /** True once its deadline passed while it ran. */
    expired(): boolean;
    /** Ends it after it ran; only the first end counts. */
    end(engineMs: number, tokens: number): void;
    /** Ends it with proof that the backend server did not run it. */
    endUnstarted(): void;
}
