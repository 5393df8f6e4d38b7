/** Injectable time. Ages and deadlines use monotonic time; wall time is only for what leaves the process. */
export interface Clock {
    /** Milliseconds since an arbitrary start; never decreases. */
    monotonicMs(): number;
    /** Milliseconds since 1970-01-01 UTC; may jump. */
    wallMs(): number;
    /** Runs `run` once after `delayMs`; the returned function cancels it. */
    startTimer(delayMs: number, run: () => void): () => void;
    /** Resolves after `delayMs`, or as soon as `signal` is aborted. Never rejects. */
    sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
}
