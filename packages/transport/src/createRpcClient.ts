import { codeByNumber } from "@auburnarch/errors/codeByNumber";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Clock } from "@auburnarch/types/Clock";
import { isJSONRPCResponse, JSONRPCClient, JSONRPCErrorException } from "json-rpc-2.0";
import { setMaxListeners } from "node:events";
import type { Agent } from "node:http";
import { exchangeHttp } from "./exchangeHttp.js";
import { readFullBody } from "./readFullBody.js";

interface RpcClientOptions {
    host: string;
    port: number;
    agent: Agent;
    clock: Clock;
    path?: string;
    /** Sent with every call. */
    headers?: Record<string, string>;
}

/** Calls a method of another process of this system; rejects with a `ResultError`. */
type CallRpc = (method: string, params: unknown, timeoutMs: number) => Promise<unknown>;

const neverAborted = new AbortController().signal;
setMaxListeners(0, neverAborted);
const maxAnswerBytes = 4_194_304;

/** Creates a JSON-RPC client over HTTP POST. Transport faults reject with code `sidecarUnreachable`. */
export function createRpcClient(options: RpcClientOptions): CallRpc {
    const { host, port, agent, clock, path = "/rpc" } = options;
    const headersOf = (body: Uint8Array): Record<string, string> => ({
        ...options.headers,
        "content-type": "application/json",
        "content-length": String(body.length),
    });

    async function post(payload: unknown, timeoutMs: number): Promise<unknown> {
        const body = Buffer.from(JSON.stringify(payload));
        const headers = headersOf(body);
        const call = { clock, agent, host, port, method: "POST", path, headers, body };
        const exchange = await exchangeHttp({ ...call, signal: neverAborted, timeoutMs });
        if (exchange.kind !== "answered") {
            throw new ResultError(resultCodes.sidecarUnreachable, exchange.detail);
        }
        const answer = await readFullBody(exchange.body, maxAnswerBytes);
        if (exchange.status !== 200) {
            throw new ResultError(resultCodes.sidecarUnreachable, `status ${exchange.status}`);
        }
        return JSON.parse(answer.toString("utf8"));
    }

    return async (method, params, timeoutMs) => {
        const client = new JSONRPCClient(async (payload: { id?: unknown; }) => {
            const answer = await post(payload, timeoutMs);
            // Another program may listen at a reused address. The client would ignore its answer and wait forever.
            if (!(answer instanceof Object) || !isJSONRPCResponse(answer) || answer.id !== payload.id) {
                throw new ResultError(resultCodes.sidecarUnreachable, "no answer to the call");
            }
            client.receive(answer);
        });
        try {
            return await client.request(method, params);
        }
        catch (error) {
            throw toResultError(error);
        }
    };
}

function toResultError(error: unknown): ResultError {
    if (error instanceof ResultError) {
        return error;
    }
    if (error instanceof JSONRPCErrorException && error.code > 0) {
        return new ResultError(codeByNumber(error.code), error.message);
    }
    const detail = error instanceof Error ? error.message : "no answer";
    return new ResultError(resultCodes.sidecarUnreachable, detail);
}
