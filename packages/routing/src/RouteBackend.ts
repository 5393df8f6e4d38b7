import type { ServiceId } from "@auburnarch/types/ServiceId";

/** A service that serves a route, with its share of the route's requests. */
export interface RouteBackend {
    service: ServiceId;
    /** Relative to the other backends of the route. */
    weight: number;
}
