import type { ServerResponse } from "node:http";

/** Sends a complete JSON answer. */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
    const body = Buffer.from(JSON.stringify(value));
    response.writeHead(status, { "content-type": "application/json", "content-length": body.byteLength });
    response.end(body);
}
