import { createBodyBudget } from "@auburnarch/overload/createBodyBudget";
import { readRequestBody } from "@auburnarch/overload/readRequestBody";
import type { IncomingMessage } from "node:http";

const maxBodyBytes = 4_000_000;

/** Reads the complete body of a request; rejects with `bodyTooLarge` beyond four megabytes. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
    const hold = createBodyBudget({ maxHeldBytes: 2 * maxBodyBytes }).open();
    return Buffer.from(await readRequestBody(request, maxBodyBytes, hold));
}
