import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import type { ConfigVersion } from "@auburnarch/types/ConfigVersion";
import type { Region } from "@auburnarch/types/Region";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { VmId } from "@auburnarch/types/VmId";

/** Assumed events per second of a single run on an otherwise idle engine, until one was observed. */
const assumedEventsPerSecond = 20;

/**
 * Describes a registered sampler to the dispatcher. Its load is what runners have sent there: samplers report their
 * own only on request, and late. One event counts as one token, since runs resume at event boundaries.
 */
export function describeSampler(sampler: RegisteredSampler, running: number): SamplerReport {
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
