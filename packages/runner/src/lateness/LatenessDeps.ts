import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { RoutingView } from "@auburnarch/discovery/RoutingView";
import type { SamplerDirectory } from "@auburnarch/discovery/SamplerDirectory";
import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { OpenItem } from "../items/OpenItem.js";
import type { SamplerHealth } from "../items/SamplerHealth.js";
import type { PeerView } from "../peers/PeerView.js";

/** Dependencies of the priority for steps of late trainers. */
export interface LatenessDeps {
    routing: RoutingView;
    directory: Pick<SamplerDirectory, "serving" | "find">;
    /** All batch jobs, including ended ones. */
    entries: Pick<WatchedKind<BatchJobEntry>, "objects" | "onChange">;
    samplerHealth: Pick<
        SamplerHealth,
        "running" | "eventsPerSecond" | "lastingEventsPerSecond" | "listLastingPaces"
    >;
    /** Items of this runner that wait or run. */
    listItems: () => OpenItem[];
    /** The peers, with statuses that were checked by `createStatusCheck`. */
    peers: () => PeerView[];
    clock: Clock;
    logger: Logger;
    metrics: Metrics;
}
