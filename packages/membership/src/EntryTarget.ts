import type { FailureDomain } from "@auburnarch/types/FailureDomain";

/** An entry that reports can go to. */
export interface EntryTarget {
    /** `http://ip:port`. */
    address: string;
    failureDomain: FailureDomain;
}
