import type { KnownSampler } from "@auburnarch/discovery/KnownSampler";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** A load that may be ordered now. */
export interface DueLoad {
    sampler: KnownSampler;
    policy: PolicyId;
    version: WeightVersion;
    /** A value of `loadUrgency`. */
    urgency: number;
}
