/** Time, as an argument. Monotonic time judges ages and deadlines, wall time only leaves the process. */
export interface Clock {
    /** Milliseconds since an arbitrary start; never goes back. */
    monotonicMs(): number;
    /** Milliseconds since 1970-01-01 UTC; may jump. */
    wallMs(): number;
    /** Runs `run` once after `delayMs`; the returned function cancels it. */
    startTimer(delayMs: number, run: () => void): () => void;
    /** Resolves after `delayMs`, at once if `signal` is aborted before. Never rejects. */
    sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
}
