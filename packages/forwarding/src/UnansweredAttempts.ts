import type { IncarnationId } from "@auburnarch/types/IncarnationId";

/** Attempts that ended here without an answer, until it is known whether their samplers crashed. */
export interface UnansweredAttempts {
    /** Records an attempt; `onCrash` is called with its age if its sampler turns out to have ended. */
    record(sampler: IncarnationId, sentAtMs: number, onCrash: (ageMs: number) => void): void;
    /** Records that the sampler answered, so that it did not crash during the attempts recorded so far. */
    recordAnswer(sampler: IncarnationId): void;
    /** Monotonic time of the sampler's latest answer; -Infinity if it has not answered. */
    answeredAtMs(sampler: IncarnationId): number;
    /** Records that no connection to the sampler could be made. */
    recordFailure(sampler: IncarnationId): void;
}
