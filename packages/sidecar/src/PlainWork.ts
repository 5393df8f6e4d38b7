/** An interactive or plain request that occupies a slot at the backend server. */
export interface PlainWork {
    signal: AbortSignal;
    abort(): void;
    /** True once its deadline has passed while it ran. */
    expired(): boolean;
    /** Ends it after it ran; only the first end counts. */
    end(engineMs: number, tokens: number): void;
    /** Ends it when it is certain that the backend server did not run it. */
    endUnstarted(): void;
}
