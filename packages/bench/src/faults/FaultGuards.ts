import type { KeyRangeGuards } from "@auburnarch/admit/KeyRangeGuards";
import type { QuarantineDeps } from "@auburnarch/admit/QuarantineDeps";
import type { GateGuards } from "@auburnarch/gate/GateGuards";
import type { LeaseGuards } from "@auburnarch/lease/LeaseGuards";
import type { OwnerGuards } from "@auburnarch/own/OwnerGuards";
import type { SendGuards } from "@auburnarch/send/SendGuards";
import type { SpreadGuards } from "@auburnarch/spread/SpreadGuards";

/** The guards of all parts that a randomised run is made of. */
export interface FaultGuards {
    owner: OwnerGuards;
    gate: GateGuards;
    lease: LeaseGuards;
    spread: SpreadGuards;
    send: SendGuards;
    keyRange: KeyRangeGuards;
    quarantine: Required<Pick<QuarantineDeps, "isConvicted" | "isTrialDue">>;
}
