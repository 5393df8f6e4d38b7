import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { MalformedResponseError } from "@auburnarch/streams/MalformedResponseError";
import { receiveResponse } from "@auburnarch/streams/receiveResponse";
import type { EngineChunk } from "@auburnarch/types/EngineChunk";
import type { EngineDescription } from "@auburnarch/types/EngineDescription";
import type { EngineFinish } from "@auburnarch/types/EngineFinish";
import type { EnginePort } from "@auburnarch/types/EnginePort";
import type { EngineRequest } from "@auburnarch/types/EngineRequest";
import { Agent, type IncomingMessage, request as startRequest } from "node:http";
import { z } from "zod";
import { createJsonClient } from "./createJsonClient.js";
import type { HttpClientOptions } from "./HttpClientOptions.js";
import { parseAnswer } from "./parseAnswer.js";
import { readServerEvents } from "./readServerEvents.js";

const defaultMaxStreams = 1_024;
const orderTimeoutMs = 300_000;
const faultCode = resultCodes.engineUnreachable;
/** Bounds of a text by the tokens that its request asks for. */
const maxCharsPerToken = 1_024;
const maxOtherChars = 65_536;

const description = z.object({
    bootId: z.string(),
    served: z.array(z.object({ policy: z.string(), version: z.number().int() })),
    maxBatch: z.number(),
    tokensPerSecond: z.number(),
    honoursFencing: z.boolean(),
}).transform(value => value as EngineDescription);
const load = z.object({
    running: z.number(),
    waiting: z.number(),
    cachedTokens: z.number(),
    ageMs: z.number(),
});
const orderResult = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("done") }),
    z.object({ kind: z.literal("fenced"), highestFencing: z.number() }),
    z.object({ kind: z.literal("failed"), detail: z.string() }),
]);
const completionEvent = z.object({
    choices: z.tuple([
        z.object({
            text: z.string(),
            finish_reason: z.enum(["stop", "length", "cancelled", "crashed", "rejected"]).nullish(),
        }),
    ]),
    usage: z.object({ completion_tokens: z.number() }).optional(),
    system_fingerprint: z.string().nullish(),
    engine_ms: z.number().optional(),
    cached_prompt_tokens: z.number().optional(),
});
type CompletionEvent = z.infer<typeof completionEvent>;

const toBody = (request: EngineRequest): unknown => ({
    model: request.policy,
    prompt: request.prompt,
    max_tokens: request.maxTokens,
    seed: request.seed,
    priority: request.priority,
    stream: true,
    user: request.attempt,
    resume_text: request.resumeText,
    resume_tokens: request.resumeTokens,
});

const toChunk = (event: CompletionEvent): EngineChunk => ({
    text: event.choices[0].text,
    tokens: event.usage?.completion_tokens ?? 0,
    fingerprint: event.system_fingerprint ?? undefined,
});

const finishWithReason = (reason: EngineFinish["reason"]): EngineFinish => ({
    reason,
    engineMs: 0,
    cachedPromptTokens: 0,
});

/** Whether an answer was no completion, which says nothing of its request; others end early because the engine did. */
const isInvalidAnswer = (error: unknown): boolean =>
    error instanceof ResultError || error instanceof SyntaxError || error instanceof MalformedResponseError;

async function readCompletion(
    response: IncomingMessage,
    maxTokens: number,
    onChunk: (chunk: EngineChunk) => void,
): Promise<EngineFinish> {
    const maxChars = maxOtherChars + maxCharsPerToken * maxTokens;
    let chars = 0;
    let finish: EngineFinish | undefined;
    for await (const data of readServerEvents(response)) {
        const event = parseAnswer(completionEvent, data, faultCode);
        const reason = event.choices[0].finish_reason ?? undefined;
        chars += event.choices[0].text.length;
        if (chars > maxChars) {
            throw new ResultError(faultCode, `more than ${maxChars} characters`);
        }
        if (event.choices[0].text !== "") {
            onChunk(toChunk(event));
        }
        if (reason !== undefined) {
            const engineMs = event.engine_ms ?? 0;
            finish = { reason, engineMs, cachedPromptTokens: event.cached_prompt_tokens ?? 0 };
        }
    }
    return finish ?? finishWithReason("crashed");
}

/**
 * Creates a client of an engine over HTTP: completions in the OpenAI format as an event stream, orders as separate JSON
 * calls. A stream that ends before its last event finishes with reason `crashed`; its engine time is then unknown and
 * reported as 0. An answer that is no completion, or is longer than asked for, rejects with `engineUnreachable`.
 */
export function createHttpEngine(baseUrl: string, options: HttpClientOptions = {}): EnginePort {
    const client = createJsonClient(baseUrl, faultCode, options);
    const orders = createJsonClient(baseUrl, faultCode, { ...options, timeoutMs: orderTimeoutMs });
    const agent = new Agent({ keepAlive: true, maxSockets: options.maxConnections ?? defaultMaxStreams });

    function openStream(request: EngineRequest, signal: AbortSignal): Promise<IncomingMessage> {
        const body = Buffer.from(JSON.stringify(toBody(request)));
        const headers = { "content-type": "application/json", "content-length": body.length };
        return new Promise((resolve, reject) => {
            const url = new URL("/v1/completions", baseUrl);
            const sent = startRequest(url, { method: "POST", agent, headers, signal });
            let response: IncomingMessage | undefined;
            receiveResponse(sent, received => {
                response = received;
                resolve(received);
            }, error => {
                if (response?.complete === false) {
                    response.destroy(error);
                }
                reject(error);
            });
            sent.end(body);
        });
    }

    async function generate(
        request: EngineRequest,
        onChunk: (chunk: EngineChunk) => void,
        signal: AbortSignal,
    ): Promise<EngineFinish> {
        let response: IncomingMessage;
        try {
            response = await openStream(request, signal);
        }
        catch (error) {
            if (signal.aborted) {
                return finishWithReason("cancelled");
            }
            throw new ResultError(faultCode, String(error));
        }
        if (response.statusCode !== 200) {
            response.resume();
            throw new ResultError(faultCode, `status ${response.statusCode}`);
        }
        try {
            return await readCompletion(response, request.maxTokens, onChunk);
        }
        catch (error) {
            if (!signal.aborted && isInvalidAnswer(error)) {
                throw new ResultError(faultCode, error instanceof ResultError ? error.detail : String(error));
            }
            return finishWithReason(signal.aborted ? "cancelled" : "crashed");
        }
    }

    return {
        generate,
        cancel: async attempt => {
            await client.call("POST", "/cancel", { attempt });
        },
        order: async order =>
            parseAnswer(orderResult, (await orders.call("POST", "/orders", order)).value, faultCode),
        describe: async () =>
            parseAnswer(description, (await client.call("GET", "/describe")).value, faultCode),
        readLoad: async () => parseAnswer(load, (await client.call("GET", "/load")).value, faultCode),
        exportCache: async attempt => {
            const { value } = await client.call("POST", "/cache/export", { attempt });
            return parseAnswer(z.object({ cache: z.string().optional() }), value, faultCode).cache;
        },
        importCache: async (attempt, cache) => {
            const { value } = await client.call("POST", "/cache/import", { attempt, cache });
            return parseAnswer(z.object({ taken: z.boolean() }), value, faultCode).taken;
        },
    };
}
