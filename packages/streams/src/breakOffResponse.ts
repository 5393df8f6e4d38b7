import type { ServerResponse } from "node:http";

/**
 * Ends a response that can't be completed, so that what was sent of it does not look complete. To a client without
 * chunks, such as one of HTTP/1.0, an orderly close is the end of the body, so its connection is reset.
 */
export function breakOffResponse(response: ServerResponse): void {
    if (response.headersSent && !response.chunkedEncoding) {
        response.socket?.resetAndDestroy();
    }
    response.destroy();
}
