import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { type Server, ServerResponse } from "node:http";
import { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { sendFailure } from "./sendFailure.js";

function codeOfFault({ code }: NodeJS.ErrnoException): ResultError {
    if (code === "ERR_HTTP_REQUEST_TIMEOUT") {
        return new ResultError(resultCodes.requestTimeout);
    }
    const detail = code === "HPE_HEADER_OVERFLOW" ? "headers too large" : "not HTTP/1.1";
    return new ResultError(resultCodes.badRequest, detail);
}

/**
 * Answers what Node's parser refuses (malformed or too large heads, requests that do not arrive in time) with a
 * numbered code as well; by itself Node sends a bare status, which tells a caller neither the code nor the outcome.
 * The connection is closed behind the answer. One in the middle of an answer is cut: more bytes would pass for a
 * part of it.
 */
export function answerClientErrors(server: Server): void {
    const answering = new WeakMap<Duplex, ServerResponse>();

    server.prependListener("request", (request: IncomingMessage, response: ServerResponse) => {
        answering.set(request.socket, response);
        response.once("close", () => answering.delete(request.socket));
    });
    server.on("checkExpectation", (request: IncomingMessage, response: ServerResponse) => {
        request.resume();
        sendFailure(response, new ResultError(resultCodes.badRequest, "expect: only 100-continue"));
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket: Duplex) => {
        const open = answering.get(socket);
        if (!socket.writable || open?.headersSent === true) {
            socket.destroy();
            return;
        }
        const response = open ?? new ServerResponse(new IncomingMessage(new Socket()));
        if (open === undefined) {
            response.assignSocket(socket as Socket);
        }
        response.shouldKeepAlive = false;
        response.once("finish", () => (socket as Socket).destroySoon());
        sendFailure(response, codeOfFault(error));
    });
}
