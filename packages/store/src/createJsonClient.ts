import { codeByNumber } from "@auburnarch/errors/codeByNumber";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { receiveResponse } from "@auburnarch/streams/receiveResponse";
import { trackResponseEnd } from "@auburnarch/streams/trackResponseEnd";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import { Agent, type IncomingMessage, request as startRequest } from "node:http";
import type { HttpClientOptions } from "./HttpClientOptions.js";
import type { JsonClient } from "./JsonClient.js";

const defaultTimeoutMs = 5_000;
const defaultMaxConnections = 64;
const maxAnswerBytes = 16_000_000;
const conflictStatus = 409;

interface Answer {
    response: IncomingMessage;
    /** Whether the response, once it has ended, is complete. */
    isWhole: () => boolean;
}

async function readJson({ response, isWhole }: Answer): Promise<unknown> {
    const parts: Buffer[] = [];
    let bytes = 0;
    for await (const part of response) {
        bytes += (part as Buffer).length;
        if (bytes > maxAnswerBytes) {
            response.destroy();
            throw new Error("answer too large");
        }
        parts.push(part as Buffer);
    }
    if (!isWhole()) {
        throw new Error("answer cut short");
    }
    return bytes === 0 ? undefined : JSON.parse(Buffer.concat(parts).toString("utf8")) as unknown;
}

function errorIn(value: unknown): ResultError | undefined {
    const error = (value ?? {}) as { code?: unknown; detail?: unknown; retryAfterMs?: unknown; };
    const code = codeByNumber(error.code);
    if (code === resultCodes.internal) {
        return undefined;
    }
    const retryAfterMs = typeof error.retryAfterMs === "number" ? error.retryAfterMs : undefined;
    return new ResultError(code, typeof error.detail === "string" ? error.detail : "", retryAfterMs);
}

/** Creates a client of the JSON service at `baseUrl` that uses keep-alive connections. */
export function createJsonClient(
    baseUrl: string,
    faultCode: ResultCode,
    options: HttpClientOptions = {},
): JsonClient {
    const { timeoutMs = defaultTimeoutMs, maxConnections = defaultMaxConnections } = options;
    const agent = new Agent({ keepAlive: true, maxSockets: maxConnections });

    function send(method: string, path: string, body: unknown, limitMs: number): Promise<Answer> {
        const bytes = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
        const headers = bytes === undefined
            ? {}
            : { "content-type": "application/json", "content-length": bytes.length };
        return new Promise((resolve, reject) => {
            const request = startRequest(new URL(path, baseUrl), {
                method,
                agent,
                headers,
                timeout: limitMs,
            });
            receiveResponse(
                request,
                response => resolve({ response, isWhole: trackResponseEnd(response, method) }),
                reject,
            );
            request.on("timeout", () => request.destroy(new Error("timeout")));
            request.end(bytes);
        });
    }

    async function exchange(
        method: string,
        path: string,
        body: unknown,
        limitMs: number,
    ): Promise<{ status: number; value: unknown; }> {
        try {
            const answer = await send(method, path, body, limitMs);
            return { status: answer.response.statusCode ?? 0, value: await readJson(answer) };
        }
        catch (error) {
            throw new ResultError(faultCode, error instanceof Error ? error.message : String(error));
        }
    }

    return {
        faultCode,
        close: () => agent.destroy(),
        call: async (method, path, body, extraTimeoutMs = 0) => {
            const answer = await exchange(method, path, body, timeoutMs + extraTimeoutMs);
            if (answer.status >= 400) {
                const error = errorIn(answer.value);
                if (error !== undefined || answer.status !== conflictStatus) {
                    throw error ?? new ResultError(faultCode, `status ${answer.status}`);
                }
            }
            return answer;
        },
    };
}
