import type { EntryId } from "./EntryId.js";
import type { FailureDomain } from "./FailureDomain.js";
import type { Region } from "./Region.js";
import type { VmId } from "./VmId.js";

/** Identity of an entry, from its settings. */
export interface EntryRecord {
    entry: EntryId;
    vm: VmId;
    /** `http://ip:port` at which other processes reach it. */
    address: string;
    failureDomain: FailureDomain;
    region: Region;
}
