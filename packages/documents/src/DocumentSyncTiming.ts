/** Times and sizes of spreading. None needs tuning; tests and benches vary them. */
export interface DocumentSyncTiming {
    /** Mean time between two exchanges that a process starts. */
    exchangeIntervalMs: number;
    /** The same until the first exchange is answered: a process serves nothing before. */
    startIntervalMs: number;
    exchangeTimeoutMs: number;
    /** Changes within this time are sent on together. */
    pushDelayMs: number;
    /** Peers that a fresh change is sent to at once. */
    pushFanOut: number;
    /** Length of one long poll at the object API. */
    watchWaitMs: number;
    minBackoffMs: number;
    maxBackoffMs: number;
}
