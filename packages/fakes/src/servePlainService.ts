import { ResultError } from "@auburnarch/errors/ResultError";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { PlainBackend } from "@auburnarch/types/PlainBackend";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { HttpServerHandle } from "./HttpServerHandle.js";
import { listenHttp } from "./listenHttp.js";
import { readBody } from "./readBody.js";
import { sendError } from "./sendError.js";

const attemptHeader = "x-auburnarch-attempt";
const unboundedMs = Number.MAX_SAFE_INTEGER;

async function toRequest(request: IncomingMessage): Promise<PlainRequest> {
    const headers = Object.fromEntries(
        Object.entries(request.headers).map(([name, value]) => [name, String(value)]),
    );
    return {
        attempt: (headers[attemptHeader] ?? "") as AttemptId,
        service: "" as ServiceId,
        team: "" as TeamId,
        method: request.method ?? "GET",
        path: request.url ?? "/",
        headers,
        body: await readBody(request),
        idempotent: false,
        digest: "" as ContentDigest,
        budgetMs: unboundedMs,
    };
}

async function answer(
    backend: PlainBackend,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const abort = new AbortController();
    response.on("close", () => abort.abort());
    try {
        const outcome = await backend(await toRequest(request), abort.signal);
        if (outcome.kind === "unknown") {
            response.destroy();
            return;
        }
        if (outcome.kind === "notRun") {
            throw new ResultError(outcome.code);
        }
        response.writeHead(outcome.answer.status, outcome.answer.headers);
        for await (const part of outcome.answer.body) {
            // Awaits each write, so that the part before a break in the body reaches the caller.
            await new Promise(resolve => response.write(part, resolve));
        }
        response.end();
    }
    catch (error) {
        sendError(response, error);
    }
}

/** Serves a plain service on every path. An unknown outcome closes the connection without an answer. */
export function servePlainService(backend: PlainBackend, port = 0): Promise<HttpServerHandle> {
    return listenHttp((request, response) => void answer(backend, request, response), port);
}
