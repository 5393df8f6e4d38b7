import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { EngineChunk } from "@auburnarch/types/EngineChunk";
import type { EngineFinish } from "@auburnarch/types/EngineFinish";
import type { EngineOrder } from "@auburnarch/types/EngineOrder";
import type { EnginePort } from "@auburnarch/types/EnginePort";
import type { EngineRequest } from "@auburnarch/types/EngineRequest";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { HttpServerHandle } from "./HttpServerHandle.js";
import { listenHttp } from "./listenHttp.js";
import { readBody } from "./readBody.js";
import { sendError } from "./sendError.js";
import { sendJson } from "./sendJson.js";

/** Body of a completion call: the OpenAI fields, and extensions for attempts, priority and resuming. */
interface CompletionBody {
    model: PolicyId;
    prompt: string;
    max_tokens: number;
    seed?: number;
    priority?: number;
    user?: AttemptId;
    resume_text?: string;
    resume_tokens?: number;
}

const toRequest = (body: CompletionBody): EngineRequest => ({
    attempt: body.user ?? "" as AttemptId,
    policy: body.model,
    prompt: body.prompt,
    resumeText: body.resume_text ?? "",
    resumeTokens: body.resume_tokens ?? 0,
    maxTokens: body.max_tokens,
    priority: body.priority ?? 0,
    seed: body.seed ?? 0,
});

function writeEvent(response: ServerResponse, data: unknown): void {
    response.write(`data: ${JSON.stringify(data)}\n\n`);
}

const chunkEvent = (chunk: EngineChunk): unknown => ({
    object: "text_completion",
    choices: [{ index: 0, text: chunk.text }],
    usage: { completion_tokens: chunk.tokens },
    system_fingerprint: chunk.fingerprint,
});

const finishEvent = (finish: EngineFinish): unknown => ({
    object: "text_completion",
    choices: [{ index: 0, text: "", finish_reason: finish.reason }],
    engine_ms: finish.engineMs,
    cached_prompt_tokens: finish.cachedPromptTokens,
});

async function streamCompletion(
    engine: EnginePort,
    body: CompletionBody,
    response: ServerResponse,
): Promise<void> {
    const abort = new AbortController();
    response.on("close", () => abort.abort());
    // Sends the headers at once, so that the client knows that the request was accepted.
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.flushHeaders();
    const onChunk = (chunk: EngineChunk): void => writeEvent(response, chunkEvent(chunk));
    const finish = await engine.generate(toRequest(body), onChunk, abort.signal);
    if (finish.reason === "crashed") {
        response.destroy();
        return;
    }
    writeEvent(response, finishEvent(finish));
    response.end("data: [DONE]\n\n");
}

async function callEngine(engine: EnginePort, path: string, body: unknown): Promise<unknown> {
    const { attempt, cache } = (body ?? {}) as { attempt: AttemptId; cache: string; };
    switch (path) {
        case "/orders":
            return engine.order(body as EngineOrder);
        case "/cancel":
            await engine.cancel(attempt);
            return {};
        case "/describe":
            return engine.describe();
        case "/load":
            return engine.readLoad();
        case "/cache/export":
            return { cache: await engine.exportCache(attempt) };
        case "/cache/import":
            return { taken: await engine.importCache(attempt, cache) };
        default:
            throw new ResultError(resultCodes.notFound, path);
    }
}

async function answer(engine: EnginePort, request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
        const path = request.url ?? "/";
        const bytes = await readBody(request);
        const body = bytes.length === 0 ? undefined : JSON.parse(bytes.toString("utf8")) as unknown;
        if (path === "/v1/completions") {
            await engine.describe();
            await streamCompletion(engine, body as CompletionBody, response);
        }
        else {
            sendJson(response, 200, await callEngine(engine, path, body));
        }
    }
    catch (error) {
        sendError(response, error);
    }
}

/** Serves an engine over HTTP: `POST /v1/completions` as an event stream, all other calls as JSON. */
export function serveEngine(engine: EnginePort, port = 0): Promise<HttpServerHandle> {
    return listenHttp((request, response) => void answer(engine, request, response), port);
}
