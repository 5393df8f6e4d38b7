import type { Route } from "@auburnarch/routing/Route";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { TeamId } from "@auburnarch/types/TeamId";

/** A caller's request with its route. */
export interface RoutedRequest {
    requestId: string;
    /** The team that sent the request; undefined on routes without authentication. */
    team: TeamId | undefined;
    /** Priority of the team, 0 is the highest; undefined if the operator sets none. */
    teamPriority?: number | undefined;
    route: Route;
    /** Service of the first attempt; by default chosen by the route's weights, as for all further attempts. */
    service?: ServiceId;
    method: string;
    host: string;
    path: string;
    headers: Record<string, string>;
    body: Uint8Array;
    /** Time that the caller still waits; undefined if it did not set a deadline. */
    deadlineMs: number | undefined;
    /** Time without an answer after which an idempotent request is hedged; by default derived from its route. */
    hedgeMs?: number;
}
