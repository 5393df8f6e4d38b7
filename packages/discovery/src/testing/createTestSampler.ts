import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { RegisteredSampler } from "../RegisteredSampler.js";

/** Creates a plain sampler of the service `tiles` that accepts work; `overrides` replaces fields. */
export function createTestSampler(
    name: string,
    overrides: Partial<RegisteredSampler> = {},
): RegisteredSampler {
    return {
        incarnation: name as IncarnationId,
        instance: name,
        bornAtMs: undefined,
        service: "tiles" as ServiceId,
        host: "10.0.0.1",
        port: 1,
        failureDomain: "lugo" as FailureDomain,
        maxBatch: 4,
        isDraining: false,
        served: [],
        ...overrides,
    };
}
