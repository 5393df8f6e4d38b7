import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { BodyBudget } from "@auburnarch/overload/BodyBudget";
import { readBoundedBody } from "@auburnarch/overload/readBoundedBody";
import { samplerOrderSchema } from "@auburnarch/transport/samplerOrderSchema";
import { sidecarHeaders } from "@auburnarch/transport/sidecarHeaders";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import { createJSONRPCErrorResponse, type JSONRPCID, JSONRPCServer } from "json-rpc-2.0";
import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";
import { describeRequestError } from "./describeRequestError.js";
import type { Sidecar } from "./Sidecar.js";
import { writeErrorAnswer } from "./writeErrorAnswer.js";

interface RpcHandlerDeps {
    sidecar: Sidecar;
    incarnation: IncarnationId;
    cancelSample: (attempt: AttemptId) => boolean;
    bodies: BodyBudget;
}

const maxRpcBytes = 262_144;
const maxBatchedCalls = 1;
const attemptParams = z.strictObject({ attempt: z.string().min(1).max(512) });

/**
 * Creates the handler of JSON-RPC calls: `queryAttempt`, `cancelSample`, `order`, `beginLeaving`, `readReport`,
 * `readUsage`.
 */
export function createRpcHandler(
    deps: RpcHandlerDeps,
): (request: IncomingMessage, response: ServerResponse) => void {
    const { incarnation } = deps;
    const server = createRpcServer(deps);

    async function answer(request: IncomingMessage, response: ServerResponse): Promise<string> {
        const body = await readBoundedBody(deps.bodies, request, response, maxRpcBytes);
        const message: unknown = JSON.parse(Buffer.from(body).toString("utf8"));
        if (Array.isArray(message) && message.length > maxBatchedCalls) {
            throw new ResultError(resultCodes.badRequest, "one call a message");
        }
        const answered = await server.receive(message as Parameters<typeof server.receive>[0]);
        return JSON.stringify(answered ?? {});
    }

    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        try {
            const body = Buffer.from(await answer(request, response));
            response.writeHead(200, {
                "content-type": "application/json",
                "content-length": body.length,
                [sidecarHeaders.incarnation]: incarnation,
            });
            response.end(body);
        }
        catch (error) {
            const code = codeOf(error);
            const reportedCode = code === resultCodes.internal ? resultCodes.badRequest : code;
            writeErrorAnswer(response, incarnation, reportedCode, describeRequestError(error));
        }
    }

    return (request, response) => {
        handle(request, response).catch(() => response.destroy());
    };
}

function createRpcServer(deps: RpcHandlerDeps): JSONRPCServer {
    const { sidecar } = deps;
    const server = new JSONRPCServer({ errorListener: () => {} });
    server.mapErrorToJSONRPCErrorResponse = (id: JSONRPCID, error: unknown) => {
        const code = error instanceof z.ZodError ? resultCodes.badRequest : codeOf(error);
        return createJSONRPCErrorResponse(id, code.number, `${code.name}: ${describeRequestError(error)}`);
    };
    server.addMethod("queryAttempt", params => sidecar.queryAttempt(parseAttemptId(params)));
    server.addMethod("cancelSample", params => ({ cancelled: deps.cancelSample(parseAttemptId(params)) }));
    server.addMethod("readReport", () => sidecar.readReport());
    server.addMethod("readUsage", () => sidecar.readUsage());
    server.addMethod("beginLeaving", () => {
        sidecar.beginLeaving();
        return { leaving: true };
    });
    server.addMethod("order", async params => {
        const result = await sidecar.order(samplerOrderSchema.parse(params));
        return result.kind === "done" ? result : { ...result, code: result.code.number };
    });
    return server;
}

function parseAttemptId(params: unknown): AttemptId {
    return attemptParams.parse(params).attempt as AttemptId;
}
