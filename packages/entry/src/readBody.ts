import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { BodyBudget } from "@auburnarch/overload/BodyBudget";
import { readBoundedBody } from "@auburnarch/overload/readBoundedBody";
import type { IncomingMessage, ServerResponse } from "node:http";

const retryAfterMs = 1_000;

/**
 * Reads a request body of at most `maxBytes`, which stays counted in the budget until the response ends. Rejects with
 * `bodyTooLarge` beyond the limit, with `overloaded` if the bodies of all requests take too much memory, and with
 * `requestTimeout` if the caller does not send it completely.
 */
export async function readBody(
    request: IncomingMessage,
    response: ServerResponse,
    maxBytes: number,
    budget: BodyBudget,
    owner: string,
): Promise<Uint8Array> {
    try {
        return await readBoundedBody(budget, request, response, maxBytes, owner);
    }
    catch (error) {
        if (!(error instanceof ResultError)) {
            throw error;
        }
        if (error.code === resultCodes.bodiesFull) {
            throw new ResultError(resultCodes.overloaded, "request bodies in flight", retryAfterMs);
        }
        throw error.code === resultCodes.connectionBroken
            ? new ResultError(resultCodes.requestTimeout, "body cut short")
            : error;
    }
}
