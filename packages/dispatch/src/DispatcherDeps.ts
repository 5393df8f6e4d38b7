import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { GeneratedSample } from "@auburnarch/types/GeneratedSample";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { LimitsManifest } from "@auburnarch/types/LimitsManifest";
import type { Logger } from "@auburnarch/types/Logger";
import type { Random } from "@auburnarch/types/Random";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";

/** Dependencies of a dispatcher. */
export interface DispatcherDeps {
    job: () => JobManifest;
    limits: () => LimitsManifest;
    fencing: FencingNumber;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    /** Samplers of the job's service as currently known to this process. */
    listSamplers: () => SamplerView[];
    /**
     * Services that may run a sample now, if not all of `listSamplers`. A running attempt elsewhere is moved once one
     * of them has room.
     */
    servicesOf?: (sample: SampleId) => ReadonlySet<ServiceId>;
    /** The part of a sample's spans that an attempt at a sampler may continue from; by default all of them. */
    resumeAt?: (sample: SampleId, spans: TokenSpan[], sampler: SamplerId) => TokenSpan[];
    sidecar: (sampler: SamplerId) => SidecarPort;
    /** False while the owner may not act, such as after its lease was lost: nothing is sent then. */
    mayAct: () => boolean;
    onSampleGenerated: (generated: GeneratedSample) => void;
    /** Takes one retry from the budget, false if it is used up; by default a budget of this dispatcher alone. */
    takeRetry?: () => boolean;
    /**
     * Measured tokens per second of a single generation on a sampler, over all dispatchers of the process; by default
     * the mean of this dispatcher's own ended attempts.
     */
    measuredTokensPerSecond?: (sampler: SamplerId) => number | undefined;
    /** An attempt is abandoned after this time without a token from a sampler that is suspected down. */
    stallTimeoutMs?: number;
    /** Adjusts the result of the room rule, so that slots are left to other dispatchers; by default it is kept. */
    adjustRoom?: (
        sampler: SamplerId,
        use: { limit: number; load: number; outstanding: number; room: number; },
    ) => number;
    /** True if the swap roller is about to order this sampler to swap; by default always false. */
    isAboutToSwap?: (sampler: SamplerId) => boolean;
}
