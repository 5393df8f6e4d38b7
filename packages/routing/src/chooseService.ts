import type { Random } from "@auburnarch/types/Random";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { Route } from "./Route.js";

/** Chooses a service for one request at random by the route's weights; undefined if no service has a weight. */
export function chooseService(route: Route, random: Random): ServiceId | undefined {
    const total = route.backends.reduce((sum, backend) => sum + backend.weight, 0);
    let drawn = random.nextUnit() * total;
    for (const backend of route.backends) {
        drawn -= backend.weight;
        if (drawn < 0) {
            return backend.service;
        }
    }
    return undefined;
}
