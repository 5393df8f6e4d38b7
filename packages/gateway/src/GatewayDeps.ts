import type { BatchJobReader } from "@auburnarch/batches/BatchJobReader";
import type { BatchJobStore } from "@auburnarch/batches/BatchJobStore";
import type { RoutingView } from "@auburnarch/discovery/RoutingView";
import type { SamplerDirectory } from "@auburnarch/discovery/SamplerDirectory";
import type { RequestForwarder } from "@auburnarch/forwarding/RequestForwarder";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { BodyBudget } from "@auburnarch/overload/BodyBudget";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { Random } from "@auburnarch/types/Random";
import type { DecodeBatchJob } from "./DecodeBatchJob.js";

/** Dependencies of a gateway. */
export interface GatewayDeps {
    routing: RoutingView;
    /** Milliseconds since the configuration was last known to be up to date. */
    routingAgeMs: () => number;
    /** Whether it is known which contents crashed samplers before this process started; by default nothing has to be. */
    hasRestoredTrials?: () => boolean;
    directory: SamplerDirectory;
    forwardRequest: RequestForwarder;
    batchJobStore: BatchJobStore;
    batchJobReader: BatchJobReader;
    decodeBatchJob: DecodeBatchJob;
    /** Milliseconds since calls to the store began to fail without a success in between; 0 while calls succeed. */
    storeSilentMs: () => number;
    /** Bounds the request bodies that the process holds. */
    bodyBudget: BodyBudget;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
}
