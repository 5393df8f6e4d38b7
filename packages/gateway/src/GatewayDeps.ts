import type { RoutingView } from "@auburnarch/discovery/RoutingView";
import type { SamplerDirectory } from "@auburnarch/discovery/SamplerDirectory";
import type { LotReader } from "@auburnarch/lots/LotReader";
import type { LotStore } from "@auburnarch/lots/LotStore";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Relay } from "@auburnarch/relay/Relay";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { DecodeLot } from "./DecodeLot.js";

/** What a gateway is built from. */
export interface GatewayDeps {
    routing: RoutingView;
    /** Milliseconds since the configuration was last known to be the newest. */
    routingAgeMs: () => number;
    directory: SamplerDirectory;
    relay: Relay;
    lots: LotStore;
    reader: LotReader;
    decodeLot: DecodeLot;
    /** Milliseconds since the first of the calls to the store that have all failed since; 0 while calls succeed. */
    storeSilentMs: () => number;
    clock: Clock;
    logger: Logger;
    metrics: Metrics;
}
