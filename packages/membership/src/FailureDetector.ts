/** The detector's judgement of one subject. */
interface Verdict {
    ageMs: number;
    suspected: boolean;
    /** Why the subject is or is not suspected; `spared` if the ratio limit lifted the suspicion. */
    reason: "heard" | "silent" | "unreachable" | "spared";
}

/** Decides which subjects are down, from the time of the last sign of life of each. */
export interface FailureDetector {
    /** Records a sign of life; the subject announced the next one within about `expectedGapMs`. */
    recordAlive(subject: string, expectedGapMs?: number): void;
    /** Records that a connection to the subject just failed. */
    recordFailedConnection(subject: string): void;
    forget(subject: string): void;
    /** Judges all subjects at the current time. */
    judge(): ReadonlyMap<string, Verdict>;
}
