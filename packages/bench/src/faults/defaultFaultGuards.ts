import { defaultKeyRangeGuards } from "@auburnarch/admit/defaultKeyRangeGuards";
import { isConvicted } from "@auburnarch/admit/isConvicted";
import { isTrialDue } from "@auburnarch/admit/isTrialDue";
import { defaultSidecarGuards } from "@auburnarch/gate/defaultSidecarGuards";
import { defaultLeaseGuards } from "@auburnarch/lease/defaultLeaseGuards";
import { defaultOwnerGuards } from "@auburnarch/own/defaultOwnerGuards";
import { defaultSendGuards } from "@auburnarch/send/defaultSendGuards";
import { defaultDocumentSyncGuards } from "@auburnarch/spread/defaultDocumentSyncGuards";
import type { FaultGuards } from "./FaultGuards.js";

/** The guards as they run in production. */
export const defaultFaultGuards: FaultGuards = {
    owner: defaultOwnerGuards,
    gate: defaultSidecarGuards,
    lease: defaultLeaseGuards,
    spread: defaultDocumentSyncGuards,
    send: defaultSendGuards,
    keyRange: defaultKeyRangeGuards,
    quarantine: { isConvicted, isTrialDue },
};
