/** Everything that may end one piece of work, behind one signal. */
export interface WorkAbort {
    signal: AbortSignal;
    abort(): void;
    /** Aborts after `leftMs`; `onExpired` is told first. */
    expireAfter(leftMs: number, onExpired: () => void): void;
    /** Takes timer and listeners away. */
    dispose(): void;
}
