import type { Route } from "@auburnarch/routing/Route";
import type { ServiceId } from "@auburnarch/types/ServiceId";

/** A route to the service of `createTestSampler`. */
export function createTestRoute(kind: Route["kind"], over: Partial<Route> = {}): Route {
    return {
        name: "r",
        host: "a",
        pathPrefix: "/",
        kind,
        isResumable: false,
        timeoutMs: 1_500,
        targetLatencyMs: 200,
        backends: [{ service: "tiles" as ServiceId, weight: 1 }],
        maxAttempts: 3,
        deadlineMs: undefined,
        itemTtlMs: undefined,
        isSingleVersion: false,
        allowsAnonymous: false,
        priority: undefined,
        ...over,
    };
}
