import type { TeamId } from "@auburnarch/types/TeamId";

/** A team's engine time in three columns; it pays for the first two. */
export interface TeamUsage {
    team: TeamId;
    /** Acknowledged samples, and interactive and plain requests. */
    deliveredEngineMs: number;
    /** Samples the team gave up itself. */
    discardedEngineMs: number;
    /** Retries, cancelled duplicates, lost and not yet delivered work: not charged. */
    overheadEngineMs: number;
    tokens: number;
    requests: number;
}
