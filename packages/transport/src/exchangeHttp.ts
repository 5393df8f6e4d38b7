import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { createByteStream } from "@auburnarch/streams/createByteStream";
import { MalformedResponseError } from "@auburnarch/streams/MalformedResponseError";
import { receiveResponse } from "@auburnarch/streams/receiveResponse";
import { trackResponseEnd } from "@auburnarch/streams/trackResponseEnd";
import type { Clock } from "@auburnarch/types/Clock";
import { type Agent, type ClientRequest, type IncomingMessage, request as httpRequest } from "node:http";
import { Agent as HttpsAgent } from "node:https";
import type { Socket } from "node:net";
import { TLSSocket } from "node:tls";
import type { HttpExchange } from "./HttpExchange.js";

interface HttpCall {
    clock: Clock;
    agent: Agent;
    host: string;
    port: number;
    method: string;
    path: string;
    headers: Record<string, string | string[]>;
    body: Uint8Array | undefined;
    /** Aborts the call: the connection is destroyed, and a body that is being read rejects. */
    signal: AbortSignal;
    /** Aborts the call in the same manner after this time; includes reading the response body. */
    timeoutMs: number;
}

/** A removed VM does not answer at all; without this limit the whole request budget would be spent on it. */
const connectTimeoutMs = 1_000;

/**
 * Sends one request and resolves with the status and headers of its response. Never rejects; the body of a truncated
 * response does.
 */
export function exchangeHttp(call: HttpCall): Promise<HttpExchange> {
    if (call.signal.aborted) {
        return Promise.resolve({ kind: "notWritten", detail: "given up before it was sent" });
    }
    return new Promise(resolve => {
        let connected = false;
        let timedOut = false;
        let isMalformed = false;
        let request: ClientRequest;
        try {
            request = startRequest(call);
        }
        catch (error) {
            resolve({ kind: "notWritten", detail: error instanceof Error ? error.message : String(error) });
            return;
        }
        // Replaced once there is a response.
        let failBody = (): void => {};
        const abortRequest = (): void => {
            request.destroy(new Error("given up"));
            failBody();
        };
        call.signal.addEventListener("abort", abortRequest);
        const cancelTimer = call.clock.startTimer(call.timeoutMs, () => {
            timedOut = true;
            abortRequest();
        });
        const release = (): void => {
            cancelTimer();
            call.signal.removeEventListener("abort", abortRequest);
        };
        const fail = (detail: string): void => {
            release();
            resolve(
                connected
                    ? { kind: "broken", detail, timedOut, isMalformed }
                    : { kind: "notWritten", detail },
            );
        };
        request.once("socket", socket => {
            connected = isConnected(socket);
            if (!connected) {
                const cancelConnectTimer = call.clock.startTimer(connectTimeoutMs, abortRequest);
                socket.once("close", cancelConnectTimer);
                socket.once(socket instanceof TLSSocket ? "secureConnect" : "connect", () => {
                    connected = true;
                    cancelConnectTimer();
                });
            }
        });
        const failUnanswered = (): void => fail("closed without a response");
        receiveResponse(request, message => {
            request.removeListener("close", failUnanswered);
            const response = readResponse(request, message, release, () => isMalformed);
            failBody = response.fail;
            const { statusCode = 0, headers } = message;
            const valuesOf = (name: string): string[] => message.headersDistinct[name] ?? [];
            resolve({ kind: "answered", status: statusCode, headers, valuesOf, body: response.body });
        }, error => {
            isMalformed ||= error instanceof MalformedResponseError;
            fail(error.message);
        });
        request.once("close", failUnanswered);
        request.end(call.body);
    });
}

/** Throws if the port, path, method or a header can't be sent. */
function startRequest(call: HttpCall): ClientRequest {
    const { agent, host, port, method, path, headers } = call;
    const protocol = agent instanceof HttpsAgent ? "https:" : "http:";
    return httpRequest({ agent, protocol, host, port, method, path, headers });
}

/** Over TLS nothing of a request is sent before the handshake is complete. */
function isConnected(socket: Socket): boolean {
    const isReady = !(socket instanceof TLSSocket) || socket.getFinished() !== undefined;
    return !socket.connecting && isReady;
}

interface ResponseReader {
    body: AsyncIterable<Uint8Array>;
    /** Makes the body reject unless it has ended. */
    fail: () => void;
}

/**
 * Streams the body of a response; it rejects if the connection ends, or this process destroys it, before the response
 * is whole. Bytes that follow a whole response do not belong to it.
 */
function readResponse(
    request: ClientRequest,
    message: IncomingMessage,
    release: () => void,
    isMalformed: () => boolean,
): ResponseReader {
    const isWhole = trackResponseEnd(message, request.method);
    const stream = createByteStream({
        onDrain: () => void message.resume(),
        onCancel: () => void request.destroy(),
    });
    message.on("data", (chunk: Buffer) => {
        if (!stream.push(chunk)) {
            message.pause();
        }
    });
    const fail = (): void => {
        release();
        stream.fail(
            isMalformed()
                ? new ResultError(resultCodes.answerMalformed, "the body of the answer is malformed")
                : new ResultError(resultCodes.connectionBroken, "the answer was cut short"),
        );
    };
    message.once("end", () => {
        release();
        message.removeListener("close", fail);
        if (isWhole()) {
            stream.end();
        }
        else {
            fail();
        }
    });
    message.once("error", fail);
    message.once("close", fail);
    return { body: stream.body, fail };
}
