import type { OperatorTeamUsage } from "./OperatorTeamUsage.js";

/** Answer of `GET /operator/usage`. */
export interface OperatorUsage {
    teams: OperatorTeamUsage[];
    /** Samplers whose counters could not be read for this answer; their use is missing from it. */
    unreadSamplers: string[];
}
