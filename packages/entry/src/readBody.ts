import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { IncomingMessage } from "node:http";
import type { BodyBudget } from "./BodyBudget.js";

/**
 * Reads a request body of at most `maxBytes`. Without the bound one endless body would take the memory of the
 * process; a body past it is answered with code `bodyTooLarge` before more of it is kept. `budget` bounds
 * what all requests hold together: past it, code `overloaded`.
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
        // Leaving the loop would destroy the request: what still arrives could not be drained any more, and the
        // connection would hold up a shutdown for seconds.
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
