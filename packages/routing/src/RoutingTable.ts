import type { ConfigVersion } from "@auburnarch/types/ConfigVersion";
import type { KeyDigest } from "@auburnarch/types/KeyDigest";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { ClientLimits } from "./ClientLimits.js";
import type { ConfigurationFault } from "./ConfigurationFault.js";
import type { Route } from "./Route.js";
import type { ServiceLimits } from "./ServiceLimits.js";
import type { Team } from "./Team.js";

/** One version of the routing configuration. */
export interface RoutingTable {
    version: ConfigVersion;
    routes: Route[];
    services: Map<ServiceId, ServiceLimits>;
    clientLimits: ClientLimits;
    /** Teams by the digest of each of their keys; undefined if callers need no key. */
    teams: ReadonlyMap<KeyDigest, Team> | undefined;
    /** The parts of the configuration that were ignored. */
    faults: ConfigurationFault[];
}
