import type { RoutedRequest } from "../RoutedRequest.js";
import { targetLatencyMsOf } from "../targetLatencyMsOf.js";
import type { WaitingRequest } from "./WaitingRequest.js";

/** A caller that is refused this early can still be served in time elsewhere or at a second attempt. */
const maxWaitShare = 1 / 4;

/** Teams and routes without a priority come after those with one. */
const priorityOf = (configured: number | undefined): number => -(configured ?? Number.POSITIVE_INFINITY);

/** Creates the queue entry of a request. Its queue sets `grant` and `refuse` once it waits. */
export function createWaitingRequest(
    request: RoutedRequest,
    { holdMs, queuedAtMs, refusedAtMs }: {
        holdMs: number;
        queuedAtMs: number;
        refusedAtMs: number | undefined;
    },
): WaitingRequest {
    const { route, team, teamPriority } = request;
    return {
        request,
        team: team ?? "",
        priority: priorityOf(teamPriority ?? route.priority),
        routePriority: priorityOf(route.priority),
        costMs: holdMs,
        queuedAtMs,
        refusedAtMs,
        maxWaitMs: targetLatencyMsOf(route) * maxWaitShare,
        grant: () => undefined,
        refuse: () => undefined,
    };
}
