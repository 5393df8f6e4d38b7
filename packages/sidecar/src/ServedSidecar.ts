/** A sidecar that listens for requests. */
export interface ServedSidecar {
    port: number;
    /**
     * Stops listening. A graceful close waits until every response has been written; otherwise connections are
     * destroyed, which senders see as broken connections.
     */
    close(graceful: boolean): Promise<void>;
}
