import type { KeyRangeGuards } from "@auburnarch/admission/KeyRangeGuards";
import type { QuarantineDeps } from "@auburnarch/admission/QuarantineDeps";
import type { DocumentSyncGuards } from "@auburnarch/documents/DocumentSyncGuards";
import type { LeaseGuards } from "@auburnarch/lease/LeaseGuards";
import type { OwnerGuards } from "@auburnarch/ownership/OwnerGuards";
import type { OwnerParts } from "@auburnarch/ownership/OwnerParts";
import type { SendGuards } from "@auburnarch/transport/SendGuards";

/** Checks and parts that the fault bench replaces one at a time; each has a default. */
export interface EntryGuards {
    owner?: OwnerGuards;
    ownerParts?: OwnerParts;
    lease?: LeaseGuards;
    spread?: DocumentSyncGuards;
    send?: SendGuards;
    keyRange?: KeyRangeGuards;
    isConvicted?: QuarantineDeps["isConvicted"];
    isTrialDue?: QuarantineDeps["isTrialDue"];
}
