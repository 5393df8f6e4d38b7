import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** A sampler as it registered itself. */
export interface KnownSampler {
    /** Names one start of the sampler; the next start registers anew. */
    incarnation: IncarnationId;
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
