import type { EntryId } from "./EntryId.js";
import type { FailureDomain } from "./FailureDomain.js";
import type { Region } from "./Region.js";
import type { VmId } from "./VmId.js";

/** Who an entry is, from its settings. */
export interface EntryRecord {
    entry: EntryId;
    vm: VmId;
    /** `http://ip:port` where other processes reach it. */
    address: string;
    failureDomain: FailureDomain;
    region: Region;
}
