import type { KnownSampler } from "@auburnarch/discovery/KnownSampler";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { ServiceId } from "@auburnarch/types/ServiceId";

/** A sampler of the service that `createTestRoute` leads to. */
export function createTestSampler(name: string, failureDomain = "lugo"): KnownSampler {
    return {
        incarnation: name as IncarnationId,
        instance: name,
        bornAtMs: undefined,
        service: "tiles" as ServiceId,
        host: "10.0.0.1",
        port: 1,
        failureDomain: failureDomain as FailureDomain,
        maxBatch: 4,
        isDraining: false,
        served: [],
    };
}
