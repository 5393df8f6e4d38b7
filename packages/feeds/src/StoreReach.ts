/** How a process reaches the store by its own calls. */
export interface StoreReach {
    /** Milliseconds since the first of the current run of failed calls; 0 while calls succeed. */
    silentMs: number;
    /** Milliseconds for which a call has been waiting without any answer of the store; 0 if none is waiting. */
    unansweredMs: number;
}
