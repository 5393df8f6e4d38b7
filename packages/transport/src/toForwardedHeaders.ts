import type { IncomingHttpHeaders } from "node:http";
import { internalHeaderPrefix } from "./internalHeaderPrefix.js";

const hopByHopHeaders = new Set([
    "connection",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/**
 * Returns the headers that are forwarded to the next hop. Multiple `set-cookie` values are joined by line feeds, which
 * a header value cannot contain.
 */
export function toForwardedHeaders(headers: IncomingHttpHeaders): Record<string, string> {
    const forwarded: Record<string, string> = {};
    for (const name in headers) {
        const value = headers[name];
        if (value === undefined || hopByHopHeaders.has(name) || name.startsWith(internalHeaderPrefix)) {
            continue;
        }
        forwarded[name] = typeof value === "string" ? value : value.join("\n");
    }
    return forwarded;
}
