import type { Route } from "./Route.js";

const portPattern = /:\d+$/u;

/** Whether a route serves requests to this host, which may include a port. */
export const matchesHost = (route: Pick<Route, "host">, host: string): boolean =>
    route.host.toLowerCase() === host.replace(portPattern, "").toLowerCase();
