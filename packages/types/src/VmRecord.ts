import type { FailureDomain } from "./FailureDomain.js";
import type { Region } from "./Region.js";
import type { SamplerId } from "./SamplerId.js";
import type { VmId } from "./VmId.js";

/** One row of the platform's VM list. */
export interface VmRecord {
    vm: VmId;
    /** `http://ip:port` of our process on that VM. */
    address: string;
    failureDomain: FailureDomain;
    region: Region;
    role: "entry" | "sidecar";
    /** The sampler on that VM, for role sidecar. */
    sampler: SamplerId | undefined;
    state: "live" | "leaving";
}
