import type { MembershipTiming } from "./MembershipTiming.js";

/** Default intervals and limits of membership. */
export const defaultMembershipTiming: MembershipTiming = {
    gossipIntervalMs: 1_000,
    gossipTimeoutMs: 1_500,
    heartbeatsPerMessage: 8,
    recordsPerMessage: 4,
    minSuspectMs: 5_000,
    maxSuspectMs: 60_000,
    maxSuspectedRatio: 0.5,
    forgetAfterMs: 60_000,
    vmListIntervalMs: 5_000,
    reportTargets: 3,
    minReportIntervalMs: 1_000,
    maxReportIntervalMs: 12_000,
    reportBytesPerSecond: 2_500,
    reportTimeoutMs: 3_000,
    relayCount: 3,
};
