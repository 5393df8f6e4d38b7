/** A listening server. `close` also closes its connections. */
export interface HttpServerHandle {
    port: number;
    close(): Promise<void>;
}
