import type { TeamId } from "@auburnarch/types/TeamId";

/** Number of requests of each team that started to run within a window. */
export interface UsageReport {
    window: number;
    counts: Record<TeamId, number>;
}
