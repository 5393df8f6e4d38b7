import type { IncomingHttpHeaders } from "node:http";

/** How an HTTP request to another process ended, up to the head of its answer. */
export type HttpExchange =
    | { kind: "answered"; status: number; headers: IncomingHttpHeaders; body: AsyncIterable<Uint8Array>; }
    /** No connection came about: not a byte of the request was written. */
    | { kind: "notWritten"; detail: string; }
    /** The connection broke, or was given up, after bytes may have been written. */
    | { kind: "broken"; detail: string; timedOut: boolean; };
