import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { IncomingMessage } from "node:http";

const maxBodyBytes = 4_000_000;

/** Reads the complete body of a request; rejects with `bodyTooLarge` beyond four megabytes. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
    const parts: Buffer[] = [];
    let bytes = 0;
    for await (const part of request) {
        bytes += (part as Buffer).length;
        if (bytes > maxBodyBytes) {
            throw new ResultError(resultCodes.bodyTooLarge);
        }
        parts.push(part as Buffer);
    }
    return Buffer.concat(parts);
}
