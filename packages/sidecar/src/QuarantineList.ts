import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";

/** The quarantine list as one process holds it. */
export interface QuarantineList {
    /** Takes the list if its version is higher; true if taken. */
    offer(version: number, records: QuarantineRecord[]): boolean;
    /** Different VMs whose death counts against the digest now. */
    crashedVmCount(digest: ContentDigest): number;
    version(): number;
}
