import { defaultKeyRangeGuards } from "@auburnarch/admit/defaultKeyRangeGuards";
import { isConvicted } from "@auburnarch/admit/isConvicted";
import { isTrialDue } from "@auburnarch/admit/isTrialDue";
import { defaultGateGuards } from "@auburnarch/gate/defaultGateGuards";
import { defaultLeaseGuards } from "@auburnarch/lease/defaultLeaseGuards";
import { defaultOwnerGuards } from "@auburnarch/own/defaultOwnerGuards";
import { defaultSendGuards } from "@auburnarch/send/defaultSendGuards";
import { defaultSpreadGuards } from "@auburnarch/spread/defaultSpreadGuards";
import type { FaultGuards } from "./FaultGuards.js";

/** The guards as they run in production. */
export const defaultFaultGuards: FaultGuards = {
    owner: defaultOwnerGuards,
    gate: defaultGateGuards,
    lease: defaultLeaseGuards,
    spread: defaultSpreadGuards,
    send: defaultSendGuards,
    keyRange: defaultKeyRangeGuards,
    quarantine: { isConvicted, isTrialDue },
};
