/** One request of a caller, over all its sends. */
export interface CallerRecord {
    key: string;
    idempotent: boolean;
    /** How each send ended, in order. */
    outcomes: ("ran" | "notRun" | "unknown")[];
}
