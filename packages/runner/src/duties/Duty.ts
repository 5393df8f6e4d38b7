/** A task that only one process at a time performs on behalf of all. */
export interface Duty {
    /** Starts what is due now; called several times a second. */
    round(): void;
    stop(): void;
}
