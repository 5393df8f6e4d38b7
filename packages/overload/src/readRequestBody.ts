import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { IncomingMessage } from "node:http";
import type { BodyHold } from "./BodyHold.js";
import { createBodyBuffer } from "./createBodyBuffer.js";

/**
 * Reads the body of an incoming request. Its memory is counted in `hold`, so that bodies in many small chunks cost what
 * is counted. Rejects with `bodyTooLarge` beyond `maxBytes`, with `bodiesFull` if the bytes do not fit into the hold or
 * the hold is closed, and with `connectionBroken` if the sender disconnects or has done so before.
 */
export function readRequestBody(
    request: IncomingMessage,
    maxBytes: number,
    hold: BodyHold,
): Promise<Uint8Array> {
    const { "content-length": length, "transfer-encoding": encoding } = request.headers;
    const announcedBytes = encoding === undefined ? Number(length ?? 0) : undefined;
    if (announcedBytes !== undefined && announcedBytes > maxBytes) {
        const detail = `${announcedBytes} bytes, limit ${maxBytes}`;
        return Promise.reject(new ResultError(resultCodes.bodyTooLarge, detail));
    }
    if (announcedBytes !== undefined && !hold.canFit(announcedBytes)) {
        return Promise.reject(new ResultError(resultCodes.bodiesFull, `${announcedBytes} bytes announced`));
    }
    return new Promise((resolve, reject) => {
        const buffer = createBodyBuffer(announcedBytes ?? maxBytes, hold);
        let isSettled = false;

        function stop(): void {
            isSettled = true;
            request.removeListener("data", onData);
            request.removeListener("end", onEnd);
            request.removeListener("error", onBroken);
            request.removeListener("close", onBroken);
            buffer.clear();
        }

        function fail(code: ResultCode, detail: string): void {
            if (isSettled) {
                return;
            }
            stop();
            hold.close();
            // The caller decides what happens to the rest of the body.
            request.pause();
            reject(new ResultError(code, detail));
        }

        function onBroken(): void {
            fail(resultCodes.connectionBroken, "request cut short");
        }

        function onData(chunk: Buffer): void {
            const receivedBytes = buffer.bytes() + chunk.length;
            if (receivedBytes > maxBytes) {
                fail(resultCodes.bodyTooLarge, `more than ${maxBytes} bytes`);
            }
            else if (!buffer.append(chunk)) {
                fail(resultCodes.bodiesFull, `${receivedBytes} bytes received`);
            }
        }

        function onEnd(): void {
            const body = buffer.take();
            hold.complete();
            stop();
            resolve(body);
        }

        if (announcedBytes === 0) {
            onEnd();
            return;
        }
        if (request.destroyed) {
            // "close" was emitted before anything listened.
            onBroken();
            return;
        }
        hold.onGivenUp(() => fail(resultCodes.bodiesFull, `${buffer.bytes()} bytes received`));
        request.on("data", onData);
        request.once("end", onEnd);
        request.once("error", onBroken);
        request.once("close", onBroken);
    });
}
