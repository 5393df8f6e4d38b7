import type { RoutedRequest } from "./RoutedRequest.js";

/** Used if neither the caller nor the route limits the time. */
const defaultLimitMs = 10_000;

/** Time that a request may take: what its caller or its route allows, whichever is shorter. */
export function requestLimitMs({ deadlineMs, route }: Pick<RoutedRequest, "deadlineMs" | "route">): number {
    return Math.min(deadlineMs ?? defaultLimitMs, route.timeoutMs ?? defaultLimitMs);
}
