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

/** Dependencies of a sidecar; that of a model sampler has an engine, that of a plain service a backend. */
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
    /** Reads the current fencing number of a job's lease from the object API; rejects while the API is down. */
    readFencing: (job: JobId) => Promise<FencingNumber>;
    /** Longest time for which work is refused while no configuration has been received; 0 by default. */
    initialConfigWaitMs?: number;
}
