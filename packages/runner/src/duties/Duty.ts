/** Something that one process at a time does for all. */
export interface Duty {
    /** Starts what is due now; called a few times a second. */
    round(): void;
    stop(): void;
}
