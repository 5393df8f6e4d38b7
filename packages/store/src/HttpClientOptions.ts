/** Bounds of a client's calls. */
export interface HttpClientOptions {
    /** Silence on the connection after which a call fails. */
    timeoutMs?: number;
    /** Connections kept open to the server at most. */
    maxConnections?: number;
}
