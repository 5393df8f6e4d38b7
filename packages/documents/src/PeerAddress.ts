import type { FailureDomain } from "@auburnarch/types/FailureDomain";

/** Address of another entry, as needed for document synchronization. */
export interface PeerAddress {
    address: string;
    failureDomain: FailureDomain;
}
