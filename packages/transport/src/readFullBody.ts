import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";

/** Reads a body to its end. Rejects with code `bodyTooLarge` beyond `maxBytes`, or with the error of the body. */
export async function readFullBody(body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<Buffer> {
    const chunks: Uint8Array[] = [];
    let bytes = 0;
    for await (const chunk of body) {
        bytes += chunk.length;
        if (bytes > maxBytes) {
            throw new ResultError(resultCodes.bodyTooLarge, `more than ${maxBytes} bytes`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}
