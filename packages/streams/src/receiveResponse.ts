import type { ClientRequest, IncomingMessage } from "node:http";
import { findHeadFault } from "./findHeadFault.js";
import { MalformedResponseError } from "./MalformedResponseError.js";

/** Codes of Node's errors in bytes that are no HTTP. */
const parserErrorPrefix = "HPE_";

const isParserError = (error: Error): boolean =>
    "code" in error && String(error.code).startsWith(parserErrorPrefix);

/**
 * Passes on the response of a request if its head is sound. Everything else is an error: a response that breaks the
 * protocol gives a `MalformedResponseError`, after which the connection is closed. Errors may follow a response.
 */
export function receiveResponse(
    request: ClientRequest,
    onResponse: (response: IncomingMessage) => void,
    onError: (error: Error) => void,
): void {
    const reject = (detail: string): void => {
        onError(new MalformedResponseError(detail));
        request.destroy();
    };
    request.once("response", response => {
        const fault = findHeadFault(response, request.method);
        if (fault === undefined) {
            onResponse(response);
        }
        else {
            reject(fault);
        }
    });
    request.on("error", error => {
        onError(isParserError(error) ? new MalformedResponseError(error.message) : error);
    });
}
