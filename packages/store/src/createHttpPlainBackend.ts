import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { MalformedResponseError } from "@auburnarch/streams/MalformedResponseError";
import { receiveResponse } from "@auburnarch/streams/receiveResponse";
import { trackResponseEnd } from "@auburnarch/streams/trackResponseEnd";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { PlainBackend } from "@auburnarch/types/PlainBackend";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import { Agent, type ClientRequest, type IncomingMessage, request as startRequest } from "node:http";
import type { Socket } from "node:net";
import type { HttpClientOptions } from "./HttpClientOptions.js";

const defaultMaxConnections = 256;
/** Headers that belong to a single connection and are not forwarded. */
const connectionHeaders = new Set([
    "connection",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
    "te",
    "trailer",
    "host",
    "content-length",
    "proxy-authorization",
    "proxy-authenticate",
]);
const attemptHeader = "x-auburnarch-attempt";

const toForwardedHeaders = (headers: Record<string, unknown>): Record<string, string> =>
    Object.fromEntries(
        Object.entries(headers)
            .filter(([name, value]) => !connectionHeaders.has(name.toLowerCase()) && value !== undefined)
            .map(([name, value]) => [name, Array.isArray(value) ? value.join(", ") : String(value)]),
    );

/**
 * Returns a function that reports whether any byte of the request may have reached the server. Only a connection that
 * was never established proves that none did: on a reused connection bytes may have been sent although the server had
 * closed it.
 */
function trackSentBytes(request: ClientRequest): () => boolean {
    let mayHaveSent = false;
    request.on("socket", (socket: Socket) => {
        if (socket.connecting) {
            socket.once("connect", () => {
                mayHaveSent = true;
            });
        }
        else {
            mayHaveSent = true;
        }
    });
    return () => mayHaveSent;
}

function brokenCode(error: Error, signal: AbortSignal): ResultCode {
    if (signal.aborted) {
        return resultCodes.cancelled;
    }
    return error instanceof MalformedResponseError
        ? resultCodes.answerMalformed
        : resultCodes.connectionBroken;
}

async function* readAnswerBody(
    response: IncomingMessage,
    isWhole: () => boolean,
): AsyncGenerator<Uint8Array> {
    try {
        for await (const part of response) {
            yield part as Buffer;
        }
    }
    catch (error) {
        throw new ResultError(resultCodes.connectionBroken, String(error));
    }
    if (!isWhole()) {
        throw new ResultError(resultCodes.connectionBroken, "response body was truncated");
    }
}

/** Creates a client of a plain service over HTTP. A request is `notRun` only if no connection was established. */
export function createHttpPlainBackend(baseUrl: string, options: HttpClientOptions = {}): PlainBackend {
    const agent = new Agent({ keepAlive: true, maxSockets: options.maxConnections ?? defaultMaxConnections });
    const { hostname, port } = new URL(baseUrl);

    function send(request: PlainRequest, signal: AbortSignal): ClientRequest {
        const headers = {
            ...toForwardedHeaders(request.headers),
            [attemptHeader]: request.attempt,
            "content-length": request.body.length,
        };
        const { method, path } = request;
        const timeout = options.timeoutMs;
        // Path and host are passed separately: joined into a URL, the path `//other/…` would address another server.
        return startRequest({ hostname, port, path, method, agent, headers, signal, timeout });
    }

    const forward: PlainBackend = (request, signal) =>
        new Promise<AttemptOutcome<PlainAnswer>>(resolve => {
            const sent = send(request, signal);
            const mayHaveSent = trackSentBytes(sent);
            sent.on("timeout", () => sent.destroy(new Error("timeout")));
            receiveResponse(sent, response => {
                const headers = toForwardedHeaders(response.headers);
                const { statusCode: status = 0 } = response;
                const body = readAnswerBody(response, trackResponseEnd(response, request.method));
                resolve({ kind: "ran", answer: { status, headers, body } });
            }, error => {
                if (mayHaveSent()) {
                    resolve({ kind: "unknown", code: brokenCode(error, signal) });
                }
                else {
                    resolve({ kind: "notRun", code: resultCodes.connectFailed, retryAfterMs: undefined });
                }
            });
            sent.end(request.body);
        });

    return async (request, signal) => {
        try {
            return await forward(request, signal);
        }
        catch {
            // Node rejects a path or header with illegal characters before it opens a connection.
            return { kind: "notRun", code: resultCodes.badRequest, retryAfterMs: undefined };
        }
    };
}
