import type { ClientRequest, IncomingMessage } from "node:http";
import { findHeadFault } from "./findHeadFault.js";
import { MalformedResponseError } from "./MalformedResponseError.js";

/** Codes of Node's errors in bytes that are no HTTP. */
const parserErrorPrefix = "HPE_";
/** A response may be preceded by informational ones (1xx), without a limit of Node's own. */
const maxInformationalResponses = 16;
const protocolName = Buffer.from("HTTP/");

/** Node's parser also accepts the names of related protocols, and does not report which one it read. */
const namesHttp = (bytes: Uint8Array): boolean => {
    const length = Math.min(bytes.length, protocolName.length);
    return protocolName.subarray(0, length).equals(bytes.subarray(0, length));
};

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
    let isHttp = true;
    let informationalResponses = 0;
    const reject = (detail: string): void => {
        onError(new MalformedResponseError(detail));
        request.destroy();
    };
    request.once("socket", socket => {
        socket.prependOnceListener("data", (bytes: Buffer) => {
            isHttp = namesHttp(bytes);
        });
    });
    request.once("response", response => {
        const fault = isHttp ? findHeadFault(response, request.method) : "another protocol than HTTP";
        if (fault === undefined) {
            onResponse(response);
        }
        else {
            reject(fault);
        }
    });
    request.on("information", () => {
        informationalResponses++;
        if (informationalResponses > maxInformationalResponses) {
            reject("too many informational responses");
        }
    });
    request.once("upgrade", (_response, socket) => {
        socket.destroy();
        reject("a switch of protocols");
    });
    request.on("error", error => {
        onError(isParserError(error) ? new MalformedResponseError(error.message) : error);
    });
}
