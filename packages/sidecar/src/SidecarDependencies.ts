import type { Invariants } from "@auburnarch/invariants/Invariants";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { EnginePort } from "@auburnarch/types/EnginePort";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { JobId } from "@auburnarch/types/JobId";
import type { Logger } from "@auburnarch/types/Logger";
import type { PlainBackend } from "@auburnarch/types/PlainBackend";
import type { Random } from "@auburnarch/types/Random";
import type { SamplerIdentity } from "@auburnarch/types/SamplerIdentity";
import type { WeightStore } from "@auburnarch/types/WeightStore";

/** What a gate is built from; a model sampler has an engine, a plain one a backend. */
export interface SidecarDependencies {
    identity: SamplerIdentity;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    invariants: Invariants;
    engine: EnginePort | undefined;
    backend: PlainBackend | undefined;
    weightStore: WeightStore;
    /** Reads a job lease's present number from the object API; rejects while that is down. */
    readFencing: (job: JobId) => Promise<FencingNumber>;
    /** Takes no work until it has been told what is in force, for so long at most; at once by default. */
    initialConfigWaitMs?: number;
}
