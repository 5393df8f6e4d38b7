/** Times and sizes of membership. None needs tuning; tests and benches vary them. */
export interface MembershipTiming {
    /** Time between two probes that an entry starts. */
    gossipIntervalMs: number;
    gossipTimeoutMs: number;
    /** Changes in one message, beside the sender's and the receiver's own heartbeat. */
    heartbeatsPerMessage: number;
    /** Full records in one message. */
    recordsPerMessage: number;
    /** A silence shorter than this never suspects. */
    minSuspectMs: number;
    /** A silence longer than this always does. */
    maxSuspectMs: number;
    /** At most this part of the subjects is suspected at once. */
    maxSuspectedRatio: number;
    /** Silent this long and absent from the VM list: forgotten. */
    forgetAfterMs: number;
    vmListIntervalMs: number;
    /** Entries that a sidecar reports to. */
    reportTargets: number;
    minReportIntervalMs: number;
    maxReportIntervalMs: number;
    /** Bytes a second that an entry wants to spend on receiving reports; intervals grow to keep to it. */
    reportBytesPerSecond: number;
    reportTimeoutMs: number;
    /** Entries that watch the object API. */
    relayCount: number;
}
