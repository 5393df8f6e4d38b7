import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** A load that may be ordered now. */
export interface DueLoad {
    sampler: RegisteredSampler;
    policy: PolicyId;
    version: WeightVersion;
    /** A value of `loadUrgency`. */
    urgency: number;
}
