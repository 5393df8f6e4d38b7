import type { Route } from "./Route.js";
import type { RoutingTable } from "./RoutingTable.js";

const portPattern = /:\d+$/u;

/** The route of a request: among those of its host, the one with the longest prefix that begins the path. */
export function findRoute(table: RoutingTable, host: string, path: string): Route | undefined {
    const name = host.replace(portPattern, "").toLowerCase();
    let best: Route | undefined;
    for (const route of table.routes) {
        const isLonger = best === undefined || route.pathPrefix.length > best.pathPrefix.length;
        if (isLonger && route.host.toLowerCase() === name && path.startsWith(route.pathPrefix)) {
            best = route;
        }
    }
    return best;
}
