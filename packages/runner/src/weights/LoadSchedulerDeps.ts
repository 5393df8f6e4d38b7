import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { RoutingView } from "@auburnarch/discovery/RoutingView";
import type { SamplerDirectory } from "@auburnarch/discovery/SamplerDirectory";
import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { Logger } from "@auburnarch/types/Logger";
import type { EngineOrders } from "./EngineOrders.js";
import type { NamedVersion } from "./NamedVersion.js";

/** What a load roller is built from. */
export interface LoadSchedulerDeps {
    /** Name under which orders are given. */
    self: string;
    fencing: FencingNumber;
    /** Checked before each order. */
    mayOrder: () => boolean;
    /** Watches the named versions; only the holder of the duty does. */
    watchVersions: () => WatchedKind<NamedVersion>;
    /** Jobs, ended ones included. */
    entries: WatchedKind<BatchJobEntry>;
    routing: RoutingView;
    directory: SamplerDirectory;
    orders: EngineOrders;
    /** Samplers that load at once; by default `loadsAtOnce`. */
    maxLoading?: number;
    clock: Clock;
    logger: Logger;
    metrics: Metrics;
}
