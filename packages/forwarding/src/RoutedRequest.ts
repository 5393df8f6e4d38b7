import type { Route } from "@auburnarch/routing/Route";
import type { TeamId } from "@auburnarch/types/TeamId";

/** A caller's request with its route. */
export interface RoutedRequest {
    requestId: string;
    /** Whose request it is; undefined where callers need no key. */
    team: TeamId | undefined;
    route: Route;
    method: string;
    host: string;
    path: string;
    headers: Record<string, string>;
    body: Uint8Array;
    /** Time the caller still waits; undefined if it does not say. */
    deadlineMs: number | undefined;
    /** Time without an answer after which an idempotent request is tried elsewhere too; by default from its route. */
    hedgeMs?: number;
}
