import type { IncomingMessage } from "node:http";
import { TLSSocket } from "node:tls";

const bodilessStatuses = new Set([204, 304]);

/**
 * Node's parser does not recognize the coding of chunks with a tab behind it. It then reads the chunks unparsed until the
 * connection ends, and reports them as complete.
 */
function trackChunks(response: IncomingMessage): () => boolean {
    const { socket } = response;
    let hasEndedBefore = false;
    // Before the listener with which the parser ends the body.
    const onEnd = (): void => {
        hasEndedBefore = !response.complete;
    };
    socket.prependOnceListener("end", onEnd);
    response.once("close", () => socket.removeListener("end", onEnd));
    return () => response.complete && !hasEndedBefore;
}

/**
 * To be called as soon as the head of a response is received and found sound; returns whether the response, once it has
 * ended, is the sender's whole response. Node reports a body that ends with the connection as complete however the
 * connection ends: only a sender that closed it has ended the body.
 */
export function trackResponseEnd(response: IncomingMessage, method: string): () => boolean {
    const { socket, headers, statusCode = 0 } = response;
    if ("content-length" in headers || method === "HEAD" || bodilessStatuses.has(statusCode)) {
        return () => response.complete;
    }
    if ("transfer-encoding" in headers) {
        return trackChunks(response);
    }
    let isClosedBySender = false;
    // Before the listener that closes this side, which would also clear the address.
    socket.prependOnceListener("end", () => {
        // Node also reports a reset as an end if it arrives together with the last bytes, but then there is no remote
        // address any more. Over TLS it does not report whether the other side closed the connection.
        isClosedBySender = socket.remoteAddress !== undefined && !(socket instanceof TLSSocket);
    });
    return () => response.complete && isClosedBySender;
}
