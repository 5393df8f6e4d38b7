import type { IncomingMessage } from "node:http";

const firstFinalStatus = 200;
const firstRedirectStatus = 300;
const lastStatus = 599;
const noContentStatus = 204;
const versions = new Set(["1.0", "1.1"]);
const reasonPattern = /^[\t\x20-\x7e\x80-\xff]*$/u;
const closePattern = /(?:^|,)\s*close\s*(?:,|$)/iu;

/**
 * A sender that ends the body of a success with its connection has to announce that it closes it. Otherwise the fields
 * that delimit the body are missing, misspelt, or follow a blank line and would be read as content. What is used of any
 * other response is its head.
 */
function isUndelimited(response: IncomingMessage, method: string): boolean {
    const { statusCode = 0, httpVersion, headers } = response;
    const isDelimited = "transfer-encoding" in headers || "content-length" in headers;
    const closes = httpVersion === "1.0" || closePattern.test(headers.connection ?? "");
    return statusCode < firstRedirectStatus && method !== "HEAD" && !isDelimited && !closes;
}

function findFramingFault(response: IncomingMessage, method: string): string | undefined {
    const { statusCode, httpVersion, headers } = response;
    const coding = headers["transfer-encoding"];
    if (coding !== undefined && (coding.toLowerCase() !== "chunked" || httpVersion === "1.0")) {
        return `transfer coding ${JSON.stringify(coding)}`;
    }
    if (statusCode === noContentStatus) {
        const hasBody = coding !== undefined || Number(headers["content-length"] ?? 0) !== 0;
        return hasBody ? `a body beside status ${noContentStatus}` : undefined;
    }
    return isUndelimited(response, method)
        ? "a body without an end: no length, no chunks, no close"
        : undefined;
}

/**
 * Returns what is wrong with the head of a response to a request with this method; undefined if it is sound. Node's
 * parser rejects fields that break the grammar; it accepts any status and protocol version, and reads a body whose
 * framing it does not understand to the end of the connection.
 */
export function findHeadFault(response: IncomingMessage, method: string): string | undefined {
    const { statusCode = 0, statusMessage = "", httpVersion } = response;
    if (!versions.has(httpVersion)) {
        return `version ${httpVersion}`;
    }
    if (statusCode < firstFinalStatus || statusCode > lastStatus) {
        return `status ${String(statusCode).padStart(3, "0")}`;
    }
    if (!reasonPattern.test(statusMessage)) {
        return "a control character in the reason";
    }
    return findFramingFault(response, method);
}
