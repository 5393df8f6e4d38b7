/** A listening server. `close` ends it with its connections. */
export interface HttpServerHandle {
    port: number;
    close(): Promise<void>;
}
