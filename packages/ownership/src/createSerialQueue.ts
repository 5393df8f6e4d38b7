import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";

/** Runs one task at a time, in the order of the calls. */
type SerialQueue = <T>(task: () => Promise<T>) => Promise<T>;

const retryAfterMs = 1_000;

/**
 * Creates a queue of at most `maxWaiting` tasks. Further ones are refused with `intentRefused`, so that they don't
 * accumulate while the store is slow.
 */
export function createSerialQueue(maxWaiting: number): SerialQueue {
    let tail: Promise<unknown> = Promise.resolve();
    let waiting = 0;
    return async task => {
        if (waiting >= maxWaiting) {
            throw new ResultError(resultCodes.intentRefused, "too many changes are waiting", retryAfterMs);
        }
        waiting++;
        const result = tail.then(task);
        tail = result.catch(() => undefined);
        try {
            return await result;
        }
        finally {
            waiting--;
        }
    };
}
