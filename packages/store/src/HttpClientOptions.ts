/** Limits of an HTTP client. */
export interface HttpClientOptions {
    /** Time without activity on the connection after which a call fails. */
    timeoutMs?: number;
    /** Maximum number of connections to the server. */
    maxConnections?: number;
}
