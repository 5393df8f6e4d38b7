import type { RoutingTable } from "@auburnarch/routing/RoutingTable";

/** Returns the active configuration of this process; undefined until one is known. Its version never decreases. */
export type RoutingView = () => RoutingTable | undefined;
