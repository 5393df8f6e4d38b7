import type { IncomingHttpHeaders } from "node:http";
import { ownHeaderPrefix } from "./ownHeaderPrefix.js";

const hopByHop = new Set([
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
export function passHeaders(headers: IncomingHttpHeaders): Record<string, string> {
    const passed: Record<string, string> = {};
    for (const name in headers) {
        const value = headers[name];
        if (value === undefined || hopByHop.has(name) || name.startsWith(ownHeaderPrefix)) {
            continue;
        }
        passed[name] = typeof value === "string" ? value : value.join("\n");
    }
    return passed;
}
