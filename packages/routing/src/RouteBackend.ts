import type { ServiceId } from "@auburnarch/types/ServiceId";

/** A service of a route, with its share of the route's requests. */
export interface RouteBackend {
    service: ServiceId;
    /** Weight relative to the other services of the route. */
    weight: number;
}
