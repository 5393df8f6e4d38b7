import type { TeamId } from "@auburnarch/types/TeamId";

/** A team as configured. */
export interface Team {
    team: TeamId;
    /** Priority of its requests, 0 is the highest; overrides that of a route. Undefined if the operator sets none. */
    priority: number | undefined;
}
