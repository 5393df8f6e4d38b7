import type { IncomingHttpHeaders } from "node:http";

/** Outcome of an HTTP request to another process, up to the headers of its response. */
export type HttpExchange =
    | {
        kind: "answered";
        status: number;
        headers: IncomingHttpHeaders;
        /** The values of each field of this name, in lower case; `headers` joins them. */
        valuesOf: (name: string) => string[];
        body: AsyncIterable<Uint8Array>;
    }
    /** No connection was established, so not a byte of the request was written. */
    | { kind: "notWritten"; detail: string; }
    /**
     * The connection broke or was aborted after bytes may have been written; `isMalformed`: because of bytes that are no
     * response.
     */
    | { kind: "broken"; detail: string; timedOut: boolean; isMalformed: boolean; };
