/** What is known of one subject's silence. */
interface Verdict {
    ageMs: number;
    suspected: boolean;
    /** Silent, or unreachable, or neither. */
    reason: "heard" | "silent" | "unreachable" | "spared";
}

/** Judges who of a set of subjects is down, from when each was last heard. */
export interface FailureDetector {
    /** Fresh evidence that a subject lives; it promised the next sign within about `expectedGapMs`. */
    recordAlive(subject: string, expectedGapMs?: number): void;
    /** A connection to it failed just now. */
    recordFailedConnection(subject: string): void;
    forget(subject: string): void;
    /** Judges all subjects as of now. */
    judge(): ReadonlyMap<string, Verdict>;
}
