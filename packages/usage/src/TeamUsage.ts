import type { TeamId } from "@auburnarch/types/TeamId";

/** A team's engine time in three columns; the team is charged for the first two. */
export interface TeamUsage {
    team: TeamId;
    /** Acknowledged samples, and interactive and plain requests. */
    deliveredEngineMs: number;
    /** Samples that the team itself discarded. */
    discardedEngineMs: number;
    /** Retries, cancelled duplicates, and work that was lost or is not yet delivered: not charged. */
    overheadEngineMs: number;
    tokens: number;
    requests: number;
}
