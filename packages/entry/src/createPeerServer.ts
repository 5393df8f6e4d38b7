import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import { isJSONRPCRequest, JSONRPCErrorException, JSONRPCServer } from "json-rpc-2.0";
import type { JSONRPCRequest } from "json-rpc-2.0";
import type { Entry } from "./Entry.js";

interface PeerServer {
    /** Rejects with `badRequest` for anything but one call with an id. */
    receive(message: unknown): Promise<unknown>;
}

function isCall(message: object): message is JSONRPCRequest {
    const { method, id } = message as Partial<JSONRPCRequest>;
    return isJSONRPCRequest(message) && typeof method === "string"
        && (typeof id === "number" || typeof id === "string");
}

/** Answers JSON-RPC 2.0 calls of other processes by `entry.receive`; errors carry the number of their result code. */
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
                // Without a result it would be no answer, and the caller would take the call for failed.
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
            // The library runs the calls of an array all at once, without a bound, and trips over other values.
            if (!(message instanceof Object) || Array.isArray(message) || !isCall(message)) {
                throw new ResultError(resultCodes.badRequest, "body: one JSON-RPC 2.0 call with an id");
            }
            return server.receive(message);
        },
    };
}
