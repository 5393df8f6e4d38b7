/** Combines everything that may end one piece of work into one signal. */
export interface WorkAbort {
    signal: AbortSignal;
    abort(): void;
    /** Aborts after `leftMs`; `onExpired` is called first. */
    expireAfter(leftMs: number, onExpired: () => void): void;
    /** Removes the timer and the listeners. */
    dispose(): void;
}
