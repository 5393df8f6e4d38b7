import type { FailureDomain } from "@auburnarch/types/FailureDomain";

/** Another entry, as far as spreading needs to know it. */
export interface PeerAddress {
    address: string;
    failureDomain: FailureDomain;
}
