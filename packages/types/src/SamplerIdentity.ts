import type { FailureDomain } from "./FailureDomain.js";
import type { Region } from "./Region.js";
import type { SamplerId } from "./SamplerId.js";
import type { ServiceId } from "./ServiceId.js";
import type { VmId } from "./VmId.js";

/** Identity of a sidecar, from its settings. */
export interface SamplerIdentity {
    sampler: SamplerId;
    vm: VmId;
    /** `http://ip:port` at which entries reach the sidecar. */
    address: string;
    failureDomain: FailureDomain;
    region: Region;
    service: ServiceId;
}
