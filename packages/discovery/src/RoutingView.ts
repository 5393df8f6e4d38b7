import type { RoutingTable } from "@auburnarch/routing/RoutingTable";

/** The configuration in force here; undefined until one is known. Its version never goes back. */
export type RoutingView = () => RoutingTable | undefined;
