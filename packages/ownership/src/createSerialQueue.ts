import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";

/** Runs one task at a time, in the order asked for. */
type SerialQueue = <T>(task: () => Promise<T>) => Promise<T>;

const retryAfterMs = 1_000;

/** Makes a queue of at most `maxWaiting` tasks; one more is refused with `intentRefused`, so a slow store piles up nothing. */
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
