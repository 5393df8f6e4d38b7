import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { BatchJobStore } from "@auburnarch/batches/BatchJobStore";
import type { Dispatcher } from "@auburnarch/dispatch/Dispatcher";
import type { Invariants } from "@auburnarch/invariants/Invariants";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Route } from "@auburnarch/routing/Route";
import type { Clock } from "@auburnarch/types/Clock";
import type { GeneratedSample } from "@auburnarch/types/GeneratedSample";
import type { Logger } from "@auburnarch/types/Logger";
import type { Random } from "@auburnarch/types/Random";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { FoundText } from "../copies/FoundText.js";
import type { ItemRun } from "../items/ItemRun.js";
import type { ScoreItem } from "../items/ScoreItem.js";
import type { TextCache } from "../items/TextCache.js";
import type { ResultCache } from "../results/ResultCache.js";
import type { createSeenGroups } from "./createSeenGroups.js";

/** Dependencies of the run of one batch job. */
export interface BatchJobRunDeps {
    batchJobId: BatchJobId;
    entry: BatchJobEntry;
    batchJobStore: BatchJobStore;
    resultCache: Pick<ResultCache, "open" | "addChunk" | "markLoaded" | "close">;
    /** Returns the dispatcher for a batch job's items; batch jobs of one trainer share a dispatcher. */
    dispatcherFor: (batchJob: BatchJob) => Dispatcher;
    findRoute: (host: string, path: string) => Route | undefined;
    /** Tokens per event of the engines that run a batch job. */
    tokensPerEvent: (batchJob: BatchJob) => number;
    scoreItem: ScoreItem;
    /** Registers a task for the sidecars, with the callback that receives its finished text. */
    register: (task: SampleId, run: ItemRun, onGenerated: (generated: GeneratedSample) => void) => void;
    unregister: (task: SampleId) => void;
    seenGroups: ReturnType<typeof createSeenGroups>;
    textCache: TextCache;
    /** Collects copies of the batch job's texts from all runners; undefined if there are no copies. Never rejects. */
    collectTexts?: (batchJobId: BatchJobId) => Promise<FoundText[]>;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    invariants: Invariants;
}
