import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Clock } from "@auburnarch/types/Clock";

/** Settles like `promise`, or rejects with code `engineUnreachable` after `timeoutMs`. */
export function withTimeout<T>(clock: Clock, timeoutMs: number, promise: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
        const cancel = clock.startTimer(
            timeoutMs,
            () =>
                reject(
                    new ResultError(
                        resultCodes.engineUnreachable,
                        `the engine sent no answer within ${timeoutMs} ms`,
                    ),
                ),
        );
        promise.then(resolve, reject).finally(cancel);
    });
}
