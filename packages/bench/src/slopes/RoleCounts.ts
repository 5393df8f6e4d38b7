/** What one role sent and received over a measured stretch. */
export interface RoleCounts {
    /** Requests started. */
    calls: number;
    /** Bytes of requests and answers, counted once at each end, so twice in all. */
    bytes: number;
}
