import type { IncomingMessage, ServerResponse } from "node:http";
import type { HttpServerHandle } from "./HttpServerHandle.js";
import type { JsonCall } from "./JsonCall.js";
import { listenHttp } from "./listenHttp.js";
import { readBody } from "./readBody.js";
import { sendError } from "./sendError.js";
import { sendJson } from "./sendJson.js";

/** Resolves with the answer's status and value; if it rejects with a `ResultError`, the answer has its code. */
type JsonRoute = (call: JsonCall) => Promise<{ status: number; value: unknown; }>;

async function parseCall(request: IncomingMessage): Promise<JsonCall> {
    const url = new URL(request.url ?? "/", "http://localhost");
    const body = await readBody(request);
    return {
        method: request.method ?? "GET",
        path: url.pathname,
        query: url.searchParams,
        body: body.length === 0 ? undefined : JSON.parse(body.toString("utf8")) as unknown,
    };
}

async function answer(request: IncomingMessage, response: ServerResponse, route: JsonRoute): Promise<void> {
    try {
        const { status, value } = await route(await parseCall(request));
        sendJson(response, status, value);
    }
    catch (error) {
        sendError(response, error);
    }
}

/** Serves JSON calls over HTTP on the loopback address. */
export function serveJson(route: JsonRoute, port: number): Promise<HttpServerHandle> {
    return listenHttp((request, response) => void answer(request, response, route), port);
}
