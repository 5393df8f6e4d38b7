import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { TrueTimeEstimate } from "@auburnarch/clock/TrueTimeEstimate";
import type { RoutingView } from "@auburnarch/discovery/RoutingView";
import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import type { SamplerDirectory } from "@auburnarch/discovery/SamplerDirectory";
import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import type { CallSampler } from "@auburnarch/forwarding/CallSampler";
import type { Invariants } from "@auburnarch/invariants/Invariants";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { Random } from "@auburnarch/types/Random";
import type { CopyCalls } from "./copies/CopyCalls.js";
import type { ReadItemEvents } from "./items/ReadItemEvents.js";
import type { TextCache } from "./items/TextCache.js";
import type { RunnerStatus } from "./peers/RunnerStatus.js";
import type { StatusQuery } from "./peers/StatusQuery.js";
import type { RetirementRequest } from "./RetirementRequest.js";
import type { UsageDeps } from "./usage/UsageDeps.js";
import type { EngineOrders } from "./weights/EngineOrders.js";
import type { NamedVersion } from "./weights/NamedVersion.js";

/** Dependencies of a runner. */
export interface RunnerDeps {
    name: string;
    /** Key of the runner's own registration in the store. */
    registration: string;
    /** Unique to this start of the process. */
    incarnation: string;
    failureDomain: FailureDomain;
    store: ObjectStore;
    /** Milliseconds since the store could last be used, by own calls or through a peer; 0 while it can. */
    storeSilentMs: () => number;
    /** The same by own calls only, and how long one of them has been waiting without any answer of the store. */
    storeReach: () => { silentMs: number; unansweredMs: number; };
    /** Milliseconds since the store last answered this process, itself or through a peer. */
    sinceStoreAnswerMs: () => number;
    /** Milliseconds since store calls began to succeed again after failures; infinite if none ever failed. */
    sinceStoreRecoveryMs: () => number;
    routing: RoutingView;
    directory: SamplerDirectory;
    entries: WatchedKind<BatchJobEntry>;
    registered: WatchedKind<RunnerAddress>;
    watchVersions: () => WatchedKind<NamedVersion>;
    callSampler: CallSampler;
    readEvents: ReadItemEvents;
    orders: EngineOrders;
    probe: (address: RunnerAddress, timeoutMs: number, query: StatusQuery) => Promise<RunnerStatus>;
    trueTime: TrueTimeEstimate;
    /** Undefined if usage of teams is not reported. */
    usage: UsageDeps | undefined;
    retirements: WatchedKind<RetirementRequest>;
    reportRetirement: (state: "running" | "completed") => Promise<void>;
    /** Unfinished texts, in memory or on disk. */
    textCache: TextCache;
    /** Copies of unfinished texts at other runners; undefined if there are none. */
    copies?: { count: number; calls: CopyCalls; };
    /** Samplers must not receive orders from two lease holders within this time. */
    orderHandOverMs: number;
    /** Time for which clients may read a batch job after its submission. */
    batchJobRetentionMs: number;
    /** Maximum number of samplers that load weights at the same time without slowing each other down. */
    maxLoading?: number;
    /** Steps of late trainers get priority. */
    prioritizesLateTrainers?: boolean;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    invariants: Invariants;
}
