import type { IncomingMessage, ServerResponse } from "node:http";
import type { BodyBudget } from "./BodyBudget.js";
import { readRequestBody } from "./readRequestBody.js";

/** Reads a request body that stays counted in the budget, for its owner, until the response ends. */
export function readBoundedBody(
    budget: BodyBudget,
    request: IncomingMessage,
    response: ServerResponse,
    maxBytes: number,
    owner?: string,
): Promise<Uint8Array> {
    const hold = budget.open(owner);
    response.once("close", hold.close);
    return readRequestBody(request, maxBytes, hold);
}
