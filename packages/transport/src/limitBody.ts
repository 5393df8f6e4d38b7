import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";

/** Passes a body on, up to `maxBytes`; beyond, it is given up and rejects with code `answerTooLong`. */
export async function* limitBody(
    body: AsyncIterable<Uint8Array>,
    maxBytes: number,
): AsyncGenerator<Uint8Array> {
    let bytes = 0;
    for await (const chunk of body) {
        bytes += chunk.length;
        if (bytes > maxBytes) {
            throw new ResultError(resultCodes.answerTooLong, `more than ${maxBytes} bytes`);
        }
        yield chunk;
    }
}
