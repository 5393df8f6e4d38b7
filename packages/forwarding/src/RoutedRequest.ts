import type { Route } from "@auburnarch/routing/Route";
import type { TeamId } from "@auburnarch/types/TeamId";

/** A caller's request with its route. */
export interface RoutedRequest {
    requestId: string;
    /** The team that sent the request; undefined on routes without authentication. */
    team: TeamId | undefined;
    route: Route;
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
