import type { FailureDomain } from "./FailureDomain.js";
import type { SamplerId } from "./SamplerId.js";
import type { ServiceId } from "./ServiceId.js";

/** A sampler that the operators expect; its address comes from membership, not from the manifest. */
export interface SamplerManifest {
    sampler: SamplerId;
    service: ServiceId;
    failureDomain: FailureDomain;
}
