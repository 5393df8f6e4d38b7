import type { KnownSampler } from "@auburnarch/discovery/KnownSampler";
import type { ConfigVersion } from "@auburnarch/types/ConfigVersion";
import type { Region } from "@auburnarch/types/Region";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { VmId } from "@auburnarch/types/VmId";

/** Events a second of one run on an engine with nothing else to do, until a run has shown it. */
const assumedEventsPerSecond = 20;

/**
 * A registered sampler in the terms of the dispatcher. Load is what this process has there itself: samplers report
 * theirs only when asked, and late. One event counts as one token, since that is what a run can go on behind.
 */
export function describeSampler(sampler: KnownSampler, running: number): SamplerReport {
    return {
        sampler: sampler.incarnation as string as SamplerId,
        vm: `${sampler.host}` as VmId,
        incarnation: sampler.incarnation,
        sequence: 0,
        address: `http://${sampler.host}:${sampler.port}`,
        failureDomain: sampler.failureDomain,
        region: "" as Region,
        service: sampler.service,
        state: sampler.isDraining ? "leaving" : "ready",
        served: sampler.served,
        stampsVersions: true,
        running,
        waiting: 0,
        limit: sampler.maxBatch,
        tokensPerSecond: assumedEventsPerSecond,
        maxBatch: sampler.maxBatch,
        configVersion: 0 as ConfigVersion,
        suspects: [],
    };
}
