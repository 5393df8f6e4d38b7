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

/** Headers that go on to the next hop. Several `set-cookie` values are joined by line feeds, which none may hold. */
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
