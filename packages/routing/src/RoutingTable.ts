import type { ConfigVersion } from "@auburnarch/types/ConfigVersion";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { ClientLimits } from "./ClientLimits.js";
import type { Route } from "./Route.js";
import type { ServiceLimits } from "./ServiceLimits.js";

/** One version of the routing configuration. */
export interface RoutingTable {
    version: ConfigVersion;
    routes: Route[];
    services: Map<ServiceId, ServiceLimits>;
    clientLimits: ClientLimits;
}
