import { matchesHost } from "./matchesHost.js";
import type { Route } from "./Route.js";
import type { RoutingTable } from "./RoutingTable.js";

/** Finds the route of a request: among the routes of its host, the one with the longest matching path prefix. */
export function findRoute(table: RoutingTable, host: string, path: string): Route | undefined {
    let best: Route | undefined;
    for (const route of table.routes) {
        const isLonger = best === undefined || route.pathPrefix.length > best.pathPrefix.length;
        if (isLonger && path.startsWith(route.pathPrefix) && matchesHost(route, host)) {
            best = route;
        }
    }
    return best;
}
