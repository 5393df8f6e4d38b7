import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { IncomingMessage } from "node:http";
import type { BodyBudget } from "./BodyBudget.js";

/**
 * Reads a request body of at most `maxBytes`, because an endless body would exhaust the memory of the process; a larger
 * body is rejected with code `bodyTooLarge` before more of it is stored. `budget` limits the memory of all requests
 * together; if it is exceeded, the body is rejected with code `overloaded`.
 */
export async function readBody(
    request: IncomingMessage,
    maxBytes: number,
    budget: BodyBudget,
): Promise<Uint8Array> {
    const declaredBytes = Number(request.headers["content-length"] ?? 0);
    if (declaredBytes > maxBytes) {
        throw new ResultError(resultCodes.bodyTooLarge, `${declaredBytes} bytes, limit ${maxBytes}`);
    }
    const chunks: Uint8Array[] = [];
    let bodyBytes = 0;
    try {
        // By default, leaving the loop destroys the request: the rest of the body could not be drained, and the
        // connection would delay a shutdown by seconds.
        const body = request.iterator({ destroyOnReturn: false }) as AsyncIterable<Uint8Array>;
        for await (const chunk of body) {
            bodyBytes += chunk.byteLength;
            budget.reserve(chunk.byteLength);
            if (bodyBytes > maxBytes) {
                throw new ResultError(resultCodes.bodyTooLarge, `more than ${maxBytes} bytes`);
            }
            chunks.push(chunk);
        }
    }
    catch (error) {
        throw error instanceof ResultError
            ? error
            : new ResultError(resultCodes.requestTimeout, "body cut short");
    }
    return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}
