import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { ServiceId } from "@auburnarch/types/ServiceId";

/** Configuration of a service. */
export interface ServiceLimits {
    service: ServiceId;
    /** Maximum number of connections to one sampler from all callers together. */
    maxConnections: number;
    /** Policies whose weights the service's engines can load; empty for a plain service. */
    policies: PolicyId[];
    /** Number of tokens in one event of a stream. */
    tokensPerEvent: number;
    /** The operator requests autoscaling of its samplers, which is not supported. */
    wantsAutoscaling: boolean;
}
