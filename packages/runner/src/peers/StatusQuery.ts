/** What a runner asks a peer for beside its status. */
export interface StatusQuery {
    /** What gateways told the peer of requests that began to run. */
    wantsStarts: boolean;
}
