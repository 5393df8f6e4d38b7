import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** A sampler as registered in its own store entry. */
export interface RegisteredSampler {
    /** Identifies one start of the sampler, so that state recorded under it never applies to a later start. */
    incarnation: IncarnationId;
    /** Name under which it registered and against which it checks requests; a later start may use the same name. */
    instance: string;
    /** Wall time of this start as stated by the sampler; undefined if it states none. */
    bornAtMs: number | undefined;
    service: ServiceId;
    host: string;
    port: number;
    failureDomain: FailureDomain;
    /** Maximum number of concurrent requests. */
    maxBatch: number;
    isDraining: boolean;
    /** Weight versions that it serves, by policy; empty for a plain service. */
    served: { policy: PolicyId; version: WeightVersion; }[];
}
