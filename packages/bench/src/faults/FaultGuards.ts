import type { KeyRangeGuards } from "@auburnarch/admission/KeyRangeGuards";
import type { QuarantineDeps } from "@auburnarch/admission/QuarantineDeps";
import type { DocumentSyncGuards } from "@auburnarch/documents/DocumentSyncGuards";
import type { LeaseGuards } from "@auburnarch/lease/LeaseGuards";
import type { OwnerGuards } from "@auburnarch/ownership/OwnerGuards";
import type { SidecarGuards } from "@auburnarch/sidecar/SidecarGuards";
import type { SendGuards } from "@auburnarch/transport/SendGuards";

/** The guards of all components in a randomised run. */
export interface FaultGuards {
    owner: OwnerGuards;
    gate: SidecarGuards;
    lease: LeaseGuards;
    spread: DocumentSyncGuards;
    send: SendGuards;
    keyRange: KeyRangeGuards;
    quarantine: Required<Pick<QuarantineDeps, "isConvicted" | "isTrialDue">>;
}
