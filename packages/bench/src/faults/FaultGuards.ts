import type { KeyRangeGuards } from "@auburnarch/admit/KeyRangeGuards";
import type { QuarantineDeps } from "@auburnarch/admit/QuarantineDeps";
import type { SidecarGuards } from "@auburnarch/gate/SidecarGuards";
import type { LeaseGuards } from "@auburnarch/lease/LeaseGuards";
import type { OwnerGuards } from "@auburnarch/own/OwnerGuards";
import type { SendGuards } from "@auburnarch/send/SendGuards";
import type { DocumentSyncGuards } from "@auburnarch/spread/DocumentSyncGuards";

/** The guards of all parts that a randomised run is made of. */
export interface FaultGuards {
    owner: OwnerGuards;
    gate: SidecarGuards;
    lease: LeaseGuards;
    spread: DocumentSyncGuards;
    send: SendGuards;
    keyRange: KeyRangeGuards;
    quarantine: Required<Pick<QuarantineDeps, "isConvicted" | "isTrialDue">>;
}
