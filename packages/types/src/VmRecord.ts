import type { FailureDomain } from "./FailureDomain.js";
import type { Region } from "./Region.js";
import type { SamplerId } from "./SamplerId.js";
import type { VmId } from "./VmId.js";

/** One entry of the platform's VM list. */
export interface VmRecord {
    vm: VmId;
    /** `http://ip:port` of the process of this system on that VM. */
    address: string;
    failureDomain: FailureDomain;
    region: Region;
    role: "entry" | "sidecar";
    /** The sampler on that VM; undefined unless the role is `sidecar`. */
    sampler: SamplerId | undefined;
    state: "live" | "leaving";
}
