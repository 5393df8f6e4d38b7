import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { findRoute } from "@auburnarch/routing/findRoute";
import type { Route } from "@auburnarch/routing/Route";
import type { RoutingTable } from "@auburnarch/routing/RoutingTable";
import type { ClientRequest } from "./ClientRequest.js";

/** Returns the route of a request; throws `unknownRoute` if there is none. */
export function requireRoute(table: RoutingTable, { host, path }: ClientRequest): Route {
    const route = findRoute(table, host, path);
    if (route === undefined) {
        throw new ResultError(resultCodes.unknownRoute, `${host}${path} in version ${table.version}`);
    }
    return route;
}
