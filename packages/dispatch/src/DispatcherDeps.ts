import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { LimitsManifest } from "@auburnarch/types/LimitsManifest";
import type { Logger } from "@auburnarch/types/Logger";
import type { MadeSample } from "@auburnarch/types/MadeSample";
import type { Random } from "@auburnarch/types/Random";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";

/** What a dispatcher is built from. */
export interface DispatcherDeps {
    job: () => JobManifest;
    limits: () => LimitsManifest;
    fencing: FencingNumber;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    /** Samplers of the job's service as this entry sees them now. */
    listSamplers: () => SamplerView[];
    sidecar: (sampler: SamplerId) => SidecarPort;
    /** False once the lease is lost or lapsed: nothing more is sent. */
    mayAct: () => boolean;
    onSampleGenerated: (generated: MadeSample) => void;
    /** True if one more attempt after a failure is within the retry budget; by default one of this dispatcher alone. */
    takeRetry?: () => boolean;
    /**
     * Tokens a second of single generations at a sampler as seen now, over all dispatchers of the process; by default
     * what this dispatcher's ended attempts came to.
     */
    measuredTokensPerSecond?: (sampler: SamplerId) => number | undefined;
    /** An attempt is given up after this long without a token from a sampler that is suspected down. */
    stallTimeoutMs?: number;
    /** True if the swap roller is about to order this sampler to swap; by default none is. */
    isAboutToSwap?: (sampler: SamplerId) => boolean;
}
