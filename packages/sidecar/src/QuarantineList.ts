import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";

/** The quarantine list as last received by one process. */
export interface QuarantineList {
    /** Accepts a list if its version is higher; true if accepted. */
    offer(version: number, records: QuarantineRecord[]): boolean;
    /** Number of different VMs whose crashes currently count against the digest. */
    crashedVmCount(digest: ContentDigest): number;
    version(): number;
}
