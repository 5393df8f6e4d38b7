import type { JobId } from "@auburnarch/types/JobId";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { UsageCounter } from "@auburnarch/types/UsageCounter";

/** Cumulative usage counters of one sidecar incarnation. */
export interface UsageCounters {
    /** Adds the usage of one attempt. `job` is undefined for interactive and plain requests. */
    add(use: { team: TeamId; job: JobId | undefined; engineMs: number; tokens: number; }): void;
    /** A copy of all counters, in the order in which they were first used. */
    read(): UsageCounter[];
}
