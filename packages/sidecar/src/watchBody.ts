import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";

/**
 * Passes a body on and calls `onEnd` when it is read to its end, fails, is abandoned, or `signal` is aborted. If more
 * than one of these happens, `onEnd` may be called again. An aborted body rejects, so that a partial body is never
 * taken for a complete one.
 */
export function watchBody(
    body: AsyncIterable<Uint8Array>,
    signal: AbortSignal,
    onEnd: () => void,
): AsyncIterable<Uint8Array> {
    const finish = (): void => {
        signal.removeEventListener("abort", finish);
        onEnd();
    };
    if (signal.aborted) {
        finish();
    }
    signal.addEventListener("abort", finish, { once: true });

    const pass = (result: IteratorResult<Uint8Array>): IteratorResult<Uint8Array> => {
        if (signal.aborted) {
            throw new ResultError(
                resultCodes.connectionBroken,
                "the request was aborted before its body was complete",
            );
        }
        if (result.done) {
            finish();
        }
        return result;
    };
    const fail = (error: unknown): never => {
        finish();
        throw error;
    };

    return {
        [Symbol.asyncIterator]: () => {
            const inner = body[Symbol.asyncIterator]();
            return {
                next: () => inner.next().then(pass, fail),
                return: async () => {
                    finish();
                    await inner.return?.();
                    return { done: true, value: undefined };
                },
            };
        },
    };
}
