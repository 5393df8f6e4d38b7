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

/** True while `readBody` is waiting for more of the body; the request cannot have run at that point. */
function isUnread({ request, response }: Exchange): boolean {
    return !response.headersSent && !request.complete && request.listenerCount("data") > 0;
}

/**
 * Sends a numbered result code for requests that Node's parser rejects (malformed or oversized headers, requests that
 * do not arrive in time). By default Node sends only a status, which states neither the code nor the outcome. The
 * connection is closed after the answer. If an earlier request on the connection is still running or being answered,
 * the connection is destroyed without an answer: the caller would take the error for the answer to that request and
 * conclude "not run" although it runs.
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
