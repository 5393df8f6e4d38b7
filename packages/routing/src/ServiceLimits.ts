import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { ServiceId } from "@auburnarch/types/ServiceId";

/** What the configuration says of a service. */
export interface ServiceLimits {
    service: ServiceId;
    /** Connections that one sampler accepts from all callers together. */
    maxConnections: number;
    /** Policies whose weights the service's engines can load; empty for a plain service. */
    policies: PolicyId[];
    /** Tokens that its engines put into one event of a stream. */
    tokensPerEvent: number;
    /** The operator wants its samplers ordered by need, which is not done here. */
    wantsOrderedSamplers: boolean;
}
