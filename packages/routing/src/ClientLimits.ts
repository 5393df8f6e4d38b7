/** Limits on the size and the duration of a client's request. */
export interface ClientLimits {
    maxHeaderBytes: number;
    maxBodyBytes: number;
    headerTimeoutMs: number;
    /** An idle client connection is closed after this time. */
    idleTimeoutMs: number;
}
