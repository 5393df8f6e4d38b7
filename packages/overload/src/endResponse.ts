import type { Clock } from "@auburnarch/types/Clock";
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import { freeBuffer } from "./freeBuffer.js";

/** Time in which a client may notice that its request is answered before it has sent all of it. */
const discardMs = 1_000;

/**
 * Sends a response and closes its connection if the request is incomplete, because the rest of it would be parsed as the
 * next request. Closing a socket with unread bytes resets the connection and may destroy the response on its way, so
 * the rest of the request is discarded for a while first. Only the response is promised then: the client learns from its
 * length that it is complete.
 */
export function endResponse(
    clock: Clock,
    response: ServerResponse,
    status: number,
    headers: OutgoingHttpHeaders,
    body: Uint8Array,
): void {
    const { req: request } = response;
    const sized = { ...headers, "content-length": body.length };
    if (request.complete || request.destroyed) {
        response.writeHead(status, sized);
        response.end(body);
        return;
    }
    response.shouldKeepAlive = false;
    response.writeHead(status, sized);
    response.write(body);
    const end = (): void => {
        cancelTimer();
        response.end();
    };
    const cancelTimer = clock.startTimer(discardMs, end);
    request.once("end", end);
    request.once("close", end);
    request.on("data", freeBuffer);
    request.resume();
}
