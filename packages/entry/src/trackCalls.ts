import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";

const retryAfterMs = 1_000;

interface CallTracker {
    /** Runs a call, or rejects with `shuttingDown` after `close`. */
    track<T>(run: () => Promise<T>): Promise<T>;
    running(): number;
    close(): void;
    isClosed(): boolean;
}

/** Counts callers' requests in flight, so that a shutdown can wait for the last answer. */
export function trackCalls(): CallTracker {
    let running = 0;
    let closed = false;
    return {
        track: async run => {
            if (closed) {
                throw new ResultError(resultCodes.shuttingDown, "", retryAfterMs);
            }
            running++;
            try {
                return await run();
            }
            finally {
                running--;
            }
        },
        running: () => running,
        close: () => {
            closed = true;
        },
        isClosed: () => closed,
    };
}
