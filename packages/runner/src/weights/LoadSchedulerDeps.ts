import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { RoutingView } from "@auburnarch/discovery/RoutingView";
import type { SamplerDirectory } from "@auburnarch/discovery/SamplerDirectory";
import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { Logger } from "@auburnarch/types/Logger";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { EngineOrders } from "./EngineOrders.js";
import type { NamedVersion } from "./NamedVersion.js";

/** Dependencies of the load scheduler. */
export interface LoadSchedulerDeps {
    /** Name of this runner as the sender of orders. */
    self: string;
    fencing: FencingNumber;
    /** Checked before each order. */
    mayOrder: () => boolean;
    /** Watches the named versions; only the holder of the duty does so. */
    watchVersions: () => WatchedKind<NamedVersion>;
    /** All batch jobs, including ended ones. */
    entries: WatchedKind<BatchJobEntry>;
    routing: RoutingView;
    directory: SamplerDirectory;
    orders: EngineOrders;
    /** Maximum number of samplers that load at the same time; `maxConcurrentLoads` by default. */
    maxLoading?: number;
    /** How far a policy's trainer is behind schedule; 0 for all by default. */
    latenessMs?: ((policy: PolicyId) => number) | undefined;
    clock: Clock;
    logger: Logger;
    metrics: Metrics;
}
