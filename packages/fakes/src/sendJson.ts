import type { ServerResponse } from "node:http";

/** Sends an answer with a JSON body. */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
    const body = Buffer.from(JSON.stringify(value ?? {}));
    response.writeHead(status, { "content-type": "application/json", "content-length": body.length });
    response.end(body);
}
