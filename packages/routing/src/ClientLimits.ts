/** Bounds of what a client may send, and of how long it may take. */
export interface ClientLimits {
    maxHeaderBytes: number;
    maxBodyBytes: number;
    headerTimeoutMs: number;
    /** An idle client connection is closed after this time. */
    idleTimeoutMs: number;
}
