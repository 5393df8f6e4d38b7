import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { IncomingMessage } from "node:http";

const emptyBody = new Uint8Array(0);

/**
 * Reads the body of an incoming request. Rejects with `bodyTooLarge` beyond `maxBytes`, without buffering more than
 * that, and with `connectionBroken` if the sender disconnects.
 */
export function readRequestBody(request: IncomingMessage, maxBytes: number): Promise<Uint8Array> {
    const declared = Number(request.headers["content-length"] ?? Number.NaN);
    if (declared > maxBytes) {
        return Promise.reject(new ResultError(resultCodes.bodyTooLarge, `${declared} bytes`));
    }
    if (declared === 0 || (Number.isNaN(declared) && request.headers["transfer-encoding"] === undefined)) {
        return Promise.resolve(emptyBody);
    }
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        request.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes > maxBytes) {
                request.pause();
                reject(new ResultError(resultCodes.bodyTooLarge, `more than ${maxBytes} bytes`));
                return;
            }
            chunks.push(chunk);
        });
        request.once("end", () => resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)));
        const onBroken = (): void =>
            reject(new ResultError(resultCodes.connectionBroken, "request cut short"));
        request.once("error", onBroken);
        request.once("close", onBroken);
    });
}
