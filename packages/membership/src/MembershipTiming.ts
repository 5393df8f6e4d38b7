/** Intervals and limits of membership. None of them needs tuning; tests and benches vary them. */
export interface MembershipTiming {
    /** Time between two probes that an entry starts. */
    gossipIntervalMs: number;
    gossipTimeoutMs: number;
    /** Changes in one message, in addition to the heartbeats of the sender and the receiver. */
    heartbeatsPerMessage: number;
    /** Full records in one message. */
    recordsPerMessage: number;
    /** A silence shorter than this never causes suspicion. */
    minSuspectMs: number;
    /** A silence longer than this always causes suspicion. */
    maxSuspectMs: number;
    /** Largest share of the subjects suspected at the same time. */
    maxSuspectedRatio: number;
    /** A subject that is silent for this long and absent from the VM list is removed. */
    forgetAfterMs: number;
    vmListIntervalMs: number;
    /** Number of entries that a sidecar reports to. */
    reportTargets: number;
    minReportIntervalMs: number;
    maxReportIntervalMs: number;
    /** Bandwidth budget of an entry for receiving reports; report intervals grow to stay within it. */
    reportBytesPerSecond: number;
    reportTimeoutMs: number;
    /** Number of entries that watch the object API. */
    relayCount: number;
}
