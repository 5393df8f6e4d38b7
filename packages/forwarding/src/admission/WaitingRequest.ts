import type { RoutedRequest } from "../RoutedRequest.js";

/** A request in a service's queue, with the values by which it is ordered. */
export interface WaitingRequest {
    request: RoutedRequest;
    team: string;
    /** Greater for a higher priority; of the team, or of the route if the team has none. */
    priority: number;
    routePriority: number;
    costMs: number;
    /** Monotonic time of arrival. */
    queuedAtMs: number;
    /** Monotonic time of its first refusal if it returns after one; undefined for a new request. */
    refusedAtMs: number | undefined;
    /** Longest that it may wait. */
    maxWaitMs: number;
    grant(): void;
    refuse(reason: "waited" | "closing"): void;
}
