import type { TeamId } from "@auburnarch/types/TeamId";

/** How many requests of each team began to run in a window. */
export interface UsageReport {
    window: number;
    counts: Record<TeamId, number>;
}
