interface WaitLimits {
    expectedWaitMs: number;
    /** Mean time from the start of a request to its answer. */
    holdMs: number;
    maxWaitMs: number;
    /** Time that the caller has left. */
    leftMs: number;
}

/** Returns why a request must not wait; undefined if it may. */
export function findWaitRefusal(
    { expectedWaitMs, holdMs, maxWaitMs, leftMs }: WaitLimits,
): "wait" | "timeLeft" | undefined {
    if (expectedWaitMs > maxWaitMs) {
        return "wait";
    }
    return expectedWaitMs + holdMs > leftMs ? "timeLeft" : undefined;
}
