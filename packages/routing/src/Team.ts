import type { TeamId } from "@auburnarch/types/TeamId";

/** A team of the configuration. */
export interface Team {
    team: TeamId;
    /** Rank of its requests, 0 first; it goes before the rank of a route. Undefined where the operator sets none. */
    priority: number | undefined;
}
