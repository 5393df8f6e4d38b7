import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";

/**
 * Passes a body on and calls `onEnd` once, when it is read to its end, fails, is given up, or `signal` is aborted.
 * An aborted body rejects, so that what came before never passes for the whole.
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

    async function next(inner: AsyncIterator<Uint8Array>): Promise<IteratorResult<Uint8Array>> {
        try {
            const result = await inner.next();
            if (signal.aborted) {
                throw new ResultError(resultCodes.connectionBroken, "the work was ended");
            }
            if (result.done) {
                finish();
            }
            return result;
        }
        catch (error) {
            finish();
            throw error;
        }
    }

    return {
        [Symbol.asyncIterator]: () => {
            const inner = body[Symbol.asyncIterator]();
            return {
                next: () => next(inner),
                return: async () => {
                    finish();
                    await inner.return?.();
                    return { done: true, value: undefined };
                },
            };
        },
    };
}
