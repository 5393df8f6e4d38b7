/** A gate that listens. */
export interface ServedSidecar {
    port: number;
    /**
     * Stops listening. Graceful waits until every answer has been written; otherwise connections are destroyed,
     * which senders see as broken.
     */
    close(graceful: boolean): Promise<void>;
}
