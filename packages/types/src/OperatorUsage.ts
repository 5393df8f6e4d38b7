import type { OperatorTeamUsage } from "./OperatorTeamUsage.js";

/** Answer of `GET /operator/usage`. */
export interface OperatorUsage {
    teams: OperatorTeamUsage[];
    /** Samplers whose counters could not be read; their usage is missing from this answer. */
    unreadSamplers: string[];
}
