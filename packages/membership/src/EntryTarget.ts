import type { FailureDomain } from "@auburnarch/types/FailureDomain";

/** An entry that a sidecar can report to. */
export interface EntryTarget {
    /** `http://ip:port`. */
    address: string;
    failureDomain: FailureDomain;
}
