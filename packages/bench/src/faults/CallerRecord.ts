/** One request of a caller with all its attempts. */
export interface CallerRecord {
    key: string;
    idempotent: boolean;
    /** Outcome of each attempt, in order. */
    outcomes: ("ran" | "notRun" | "unknown")[];
}
