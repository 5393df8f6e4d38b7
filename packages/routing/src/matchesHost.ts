import type { Route } from "./Route.js";

const portPattern = /:\d+$/u;

/** Whether a route serves requests under this host, which may name a port. */
export const matchesHost = (route: Pick<Route, "host">, host: string): boolean =>
    route.host.toLowerCase() === host.replace(portPattern, "").toLowerCase();
