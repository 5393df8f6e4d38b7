import type { IncomingMessage, ServerResponse } from "node:http";
import type { Sidecar } from "./Sidecar.js";

const okStatus = 200;
const unavailableStatus = 503;

function answer(response: ServerResponse, status: number, type: string, text: string): void {
    const body = Buffer.from(text);
    response.writeHead(status, { "content-type": type, "content-length": body.byteLength });
    response.end(body);
}

/**
 * Creates the handler of `GET /healthz` (the process runs), `GET /readyz` (it accepts work) and `GET /metrics`. They
 * need no token and change nothing. The handler returns false for any other request.
 */
export function createProbeHandler(
    sidecar: Sidecar,
    renderMetrics: () => Promise<string>,
): (request: IncomingMessage, response: ServerResponse) => boolean {
    const json = (response: ServerResponse, status: number, value: unknown): void =>
        answer(response, status, "application/json", JSON.stringify(value));

    return (request, response) => {
        if (request.method !== "GET") {
            return false;
        }
        switch (request.url) {
            case "/healthz":
                json(response, okStatus, { healthy: true });
                return true;
            case "/readyz": {
                const { state } = sidecar.report();
                json(response, state === "ready" ? okStatus : unavailableStatus, { state });
                return true;
            }
            case "/metrics":
                renderMetrics().then(
                    text => answer(response, okStatus, "text/plain; version=0.0.4", text),
                    () => response.destroy(),
                );
                return true;
            default:
                return false;
        }
    };
}
