/** Intervals and limits of document synchronization. None of them needs tuning; tests and benches vary them. */
export interface DocumentSyncTiming {
    /** Mean interval between exchanges that a process starts. */
    exchangeIntervalMs: number;
    /** The same until the first exchange is answered, before which the process serves no request. */
    startIntervalMs: number;
    exchangeTimeoutMs: number;
    /** Changes within this time are pushed together. */
    pushDelayMs: number;
    /** Number of peers that a new change is pushed to. */
    pushFanOut: number;
    /** Duration of one long poll of the object API. */
    watchWaitMs: number;
    minBackoffMs: number;
    maxBackoffMs: number;
}
