import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** A sampler as it registered itself. */
export interface RegisteredSampler {
    /** Names one start of the sampler, so that what is kept by it never passes to the next start. */
    incarnation: IncarnationId;
    /** The name under which it registered and by which it checks what is sent to it; a next start may have the same. */
    instance: string;
    /** Wall time of this start, as the sampler says; undefined where it does not. */
    bornAtMs: number | undefined;
    service: ServiceId;
    host: string;
    port: number;
    failureDomain: FailureDomain;
    /** Requests it processes at once. */
    maxBatch: number;
    isDraining: boolean;
    /** Weights it serves, by policy; empty for a plain service. */
    served: { policy: PolicyId; version: WeightVersion; }[];
}
