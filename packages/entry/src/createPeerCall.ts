import { codeByNumber } from "@auburnarch/errors/codeByNumber";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { trackResponseEnd } from "@auburnarch/streams/trackResponseEnd";
import { sidecarHeaders } from "@auburnarch/transport/sidecarHeaders";
import { isJSONRPCResponse, JSONRPCClient, JSONRPCErrorException } from "json-rpc-2.0";
import { Agent, type AgentOptions, request as httpRequest } from "node:http";
import { request as httpsRequest } from "node:https";
import type { PeerCall } from "./PeerCall.js";

const maxAnswerBytes = 64 * 1024 * 1024;
const agentOptions = { keepAlive: true, maxSockets: 64, maxFreeSockets: 4 };

interface ErrorData {
    detail?: string;
    retryAfterMs?: number;
}

function codeIn(answer: unknown): string {
    const number = (answer as { code?: unknown; } | undefined)?.code;
    return codeByNumber(number, resultCodes.peerUnreachable).name;
}

function toResultError(error: unknown): ResultError {
    if (error instanceof ResultError) {
        return error;
    }
    if (error instanceof JSONRPCErrorException) {
        // The library reports a failed send as an error of its own, whose number is not a result code of this system.
        const data = (error.data ?? {}) as ErrorData;
        return new ResultError(
            codeByNumber(error.code, resultCodes.peerUnreachable),
            data.detail ?? error.message,
            data.retryAfterMs,
        );
    }
    return new ResultError(
        resultCodes.peerUnreachable,
        error instanceof Error ? error.message : String(error),
    );
}

/**
 * Creates the client for JSON-RPC 2.0 over HTTP between processes, with one keep-alive agent for all peers. With
 * `createSecureAgent` it calls only `https` addresses, so that no token is sent over an unencrypted connection.
 */
export function createPeerCall(
    clusterToken: string,
    createSecureAgent?: (options: AgentOptions) => Agent,
): PeerCall {
    const agent = createSecureAgent?.(agentOptions) ?? new Agent(agentOptions);
    const startRequest = createSecureAgent === undefined ? httpRequest : httpsRequest;
    let lastId = 0;

    function post(address: string, payload: unknown, timeoutMs: number): Promise<unknown> {
        const body = Buffer.from(JSON.stringify(payload));
        const url = new URL("/rpc", address);
        const options = {
            method: "POST",
            agent,
            timeout: timeoutMs,
            headers: {
                "content-type": "application/json",
                "content-length": body.byteLength,
                // Entries read the first header, sidecars the second.
                authorization: `Bearer ${clusterToken}`,
                [sidecarHeaders.clusterToken]: clusterToken,
            },
        };
        return new Promise((resolve, reject) => {
            const request = startRequest(url, options, answer => {
                const isWhole = trackResponseEnd(answer, "POST");
                const chunks: Buffer[] = [];
                let answerBytes = 0;
                answer.on("data", (chunk: Buffer) => {
                    answerBytes += chunk.byteLength;
                    if (answerBytes > maxAnswerBytes) {
                        request.destroy(new Error("answer too large"));
                        return;
                    }
                    chunks.push(chunk);
                });
                answer.on("error", reject);
                answer.on("end", () => {
                    if (!isWhole()) {
                        reject(new Error("answer cut short"));
                        return;
                    }
                    try {
                        resolve(JSON.parse(Buffer.concat(chunks).toString()));
                    }
                    catch (error) {
                        reject(error as Error);
                    }
                });
            });
            request.on("timeout", () => request.destroy(new Error(`no answer within ${timeoutMs} ms`)));
            request.on("error", reject);
            request.end(body);
        });
    }

    return async (address, method, params, timeoutMs) => {
        const client: JSONRPCClient = new JSONRPCClient(
            async (payload: { id?: unknown; }) => {
                const answer = await post(address, payload, timeoutMs);
                // A refusal, or a reply from an unrelated process at a reused address, is not an answer to this call:
                // the client would wait for its answer forever, and so would the calling loop.
                if (!isJSONRPCResponse(answer) || answer.id !== payload.id) {
                    throw new ResultError(
                        resultCodes.peerUnreachable,
                        `no answer to the call: ${codeIn(answer)}`,
                    );
                }
                client.receive(answer);
            },
            () => ++lastId,
        );
        try {
            return await client.request(method, params);
        }
        catch (error) {
            throw toResultError(error);
        }
    };
}
