import type { KeyRangeGuards } from "@auburnarch/admit/KeyRangeGuards";
import type { QuarantineDeps } from "@auburnarch/admit/QuarantineDeps";
import type { LeaseGuards } from "@auburnarch/lease/LeaseGuards";
import type { OwnerGuards } from "@auburnarch/own/OwnerGuards";
import type { OwnerParts } from "@auburnarch/own/OwnerParts";
import type { SendGuards } from "@auburnarch/send/SendGuards";
import type { DocumentSyncGuards } from "@auburnarch/spread/DocumentSyncGuards";

/** Checks and parts that a bench may replace one at a time; each has its default. */
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
