/** What a runner requests from a peer in addition to its status. */
export interface StatusQuery {
    /** Counts of started requests that gateways reported to the peer. */
    wantsStarts: boolean;
}
