import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { JobId } from "@auburnarch/types/JobId";
import type { LimitsManifest } from "@auburnarch/types/LimitsManifest";
import type { Logger } from "@auburnarch/types/Logger";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { Random } from "@auburnarch/types/Random";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { SwapPlanner } from "./SwapPlanner.js";

/** Dependencies of a `SwapRoller`. */
export interface SwapRollerDeps {
    job: JobId;
    policy: PolicyId;
    /** Fencing number of the job's lease; sent with every order. */
    fencing: FencingNumber;
    /** False once the lease is lost or lapsed; no order is sent then. */
    mayAct: () => boolean;
    limits: () => LimitsManifest;
    listSamplers: () => SamplerView[];
    sidecar: (sampler: SamplerId) => Pick<SidecarPort, "order">;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    /** Oldest version that may still generate samples; samplers below it cannot be used until they have swapped. */
    minVersion?: () => WeightVersion;
    /** Selects the samplers that swap now; `planSwaps` by default. */
    plan?: SwapPlanner;
}
