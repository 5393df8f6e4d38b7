/** A JSON request as passed to a route. */
export interface JsonCall {
    method: string;
    path: string;
    query: URLSearchParams;
    /** Parsed body; undefined if the request has none. */
    body: unknown;
}
