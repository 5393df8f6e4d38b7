import type { FailureDomain } from "./FailureDomain.js";
import type { Region } from "./Region.js";
import type { SamplerId } from "./SamplerId.js";
import type { ServiceId } from "./ServiceId.js";
import type { VmId } from "./VmId.js";

/** Who a sidecar is, from its settings. */
export interface SamplerIdentity {
    sampler: SamplerId;
    vm: VmId;
    /** `http://ip:port` where entries reach the sidecar. */
    address: string;
    failureDomain: FailureDomain;
    region: Region;
    service: ServiceId;
}
