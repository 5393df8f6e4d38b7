import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { type Server, ServerResponse } from "node:http";
import { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { sendFailure } from "./sendFailure.js";

function toClientError({ code }: NodeJS.ErrnoException): ResultError {
    if (code === "ERR_HTTP_REQUEST_TIMEOUT") {
        return new ResultError(resultCodes.requestTimeout);
    }
    const detail = code === "HPE_HEADER_OVERFLOW" ? "headers too large" : "not HTTP/1.1";
    return new ResultError(resultCodes.badRequest, detail);
}

interface Exchange {
    request: IncomingMessage;
    response: ServerResponse;
}

/** True while `readBody` waits for more of the body, so that nothing of the request can have been run. */
function isUnread({ request, response }: Exchange): boolean {
    return !response.headersSent && !request.complete && request.listenerCount("readable") > 0;
}

/**
 * Answers what Node's parser refuses (malformed or too large heads, requests that do not arrive in time) with a
 * numbered code as well; by itself Node sends a bare status, which tells a caller neither the code nor the outcome.
 * The connection is closed behind the answer. Where an earlier request of the connection is running or being answered,
 * it is cut instead: the refusal would pass for that request's answer, and say "not run" of one that runs.
 */
export function answerClientErrors(server: Server): void {
    const exchanges = new WeakMap<Duplex, Exchange>();

    server.prependListener("request", (request: IncomingMessage, response: ServerResponse) => {
        const exchange = { request, response };
        exchanges.set(request.socket, exchange);
        response.once("close", () => {
            if (exchanges.get(request.socket) === exchange) {
                exchanges.delete(request.socket);
            }
        });
    });
    server.on("checkExpectation", (request: IncomingMessage, response: ServerResponse) => {
        request.resume();
        sendFailure(response, new ResultError(resultCodes.badRequest, "expect: only 100-continue"));
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket: Duplex) => {
        const exchange = exchanges.get(socket);
        if (!socket.writable || (exchange !== undefined && !isUnread(exchange))) {
            socket.destroy();
            return;
        }
        const response = exchange?.response ?? new ServerResponse(new IncomingMessage(new Socket()));
        if (exchange === undefined) {
            response.assignSocket(socket as Socket);
        }
        response.shouldKeepAlive = false;
        response.once("finish", () => (socket as Socket).destroySoon());
        sendFailure(response, toClientError(error));
    });
}
