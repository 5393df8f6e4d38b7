/** A JSON request as a route sees it. */
export interface JsonCall {
    method: string;
    path: string;
    query: URLSearchParams;
    /** Parsed body; undefined where there was none. */
    body: unknown;
}
