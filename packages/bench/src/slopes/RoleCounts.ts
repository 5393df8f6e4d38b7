/** Traffic of one role over the measured period. */
export interface RoleCounts {
    /** Number of requests sent. */
    calls: number;
    /** Bytes of requests and answers, counted at both ends and thus twice in total. */
    bytes: number;
}
