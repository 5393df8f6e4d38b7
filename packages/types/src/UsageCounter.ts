import type { IncarnationId } from "./IncarnationId.js";
import type { JobId } from "./JobId.js";
import type { SamplerId } from "./SamplerId.js";
import type { TeamId } from "./TeamId.js";

/** Cumulative since the incarnation's start; merged by maximum, so that a repeated report counts once. */
export interface UsageCounter {
    sampler: SamplerId;
    incarnation: IncarnationId;
    team: TeamId;
    /** Undefined for interactive and plain requests. */
    job: JobId | undefined;
    engineMs: number;
    tokens: number;
    requests: number;
}
