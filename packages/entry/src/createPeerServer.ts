import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import { isJSONRPCRequest, JSONRPCErrorException, JSONRPCServer } from "json-rpc-2.0";
import type { JSONRPCRequest } from "json-rpc-2.0";
import type { Entry } from "./Entry.js";

interface PeerServer {
    /** Rejects with `badRequest` unless the message is a single call with an id. */
    receive(message: unknown): Promise<unknown>;
}

function isCall(message: object): message is JSONRPCRequest {
    const { method, id } = message as Partial<JSONRPCRequest>;
    return isJSONRPCRequest(message) && typeof method === "string"
        && (typeof id === "number" || typeof id === "string");
}

/**
 * Answers JSON-RPC 2.0 calls from other processes with `entry.receive`; errors carry the number of their result code.
 */
export function createPeerServer(
    entry: Pick<Entry, "receive">,
    logInternal: (code: ResultCode, error: unknown) => void,
): PeerServer {
    const server = new JSONRPCServer({ errorListener: () => undefined });
    server.applyMiddleware(async (next, request) => {
        try {
            return {
                jsonrpc: "2.0",
                id: request.id ?? 0,
                // A message without a result is not a valid answer; the caller would treat the call as failed.
                result: await entry.receive(request.method, request.params) ?? {},
            };
        }
        catch (error) {
            const code = codeOf(error);
            logInternal(code, error);
            const detail = error instanceof ResultError ? error.detail : "";
            const retryAfterMs = error instanceof ResultError ? error.retryAfterMs : undefined;
            throw new JSONRPCErrorException(code.name, code.number, { detail, retryAfterMs });
        }
    });
    server.mapErrorToJSONRPCErrorResponse = (id, error) => ({
        jsonrpc: "2.0",
        id,
        error: { code: error.code ?? resultCodes.internal.number, message: error.message, data: error.data },
    });
    return {
        receive: async message => {
            // The library runs all calls of an array concurrently without a limit and fails on other values.
            if (!(message instanceof Object) || Array.isArray(message) || !isCall(message)) {
                throw new ResultError(resultCodes.badRequest, "body: one JSON-RPC 2.0 call with an id");
            }
            return server.receive(message);
        },
    };
}
