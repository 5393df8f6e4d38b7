import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import { JSONRPCErrorException, JSONRPCServer } from "json-rpc-2.0";
import type { Entry } from "./Entry.js";

/** Answers JSON-RPC 2.0 calls of other processes by `entry.receive`; errors carry the number of their result code. */
export function createPeerServer(
    entry: Pick<Entry, "receive">,
    logInternal: (code: ResultCode, error: unknown) => void,
): JSONRPCServer {
    const server = new JSONRPCServer({ errorListener: () => undefined });
    server.applyMiddleware(async (next, request) => {
        try {
            return {
                jsonrpc: "2.0",
                id: request.id ?? 0,
                result: await entry.receive(request.method, request.params),
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
    return server;
}
