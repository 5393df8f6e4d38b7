/** Retries that are always allowed, so that a job with few samples is not blocked by its first failures. */
const freeRetries = 10;

/**
 * Creates the retry budget of one dispatcher alone: retries may add at most `ratio` to the attempts sent. Without a
 * budget, a fault that fails every attempt multiplies the load on the remaining samplers.
 */
export function createRetryAllowance(ratio: () => number, attemptsSent: () => number): () => boolean {
    let retries = 0;
    return () => {
        const isAllowed = retries < freeRetries + ratio() * attemptsSent();
        retries += isAllowed ? 1 : 0;
        return isAllowed;
    };
}
