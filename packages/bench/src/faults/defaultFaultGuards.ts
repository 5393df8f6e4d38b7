import { defaultKeyRangeGuards } from "@auburnarch/admission/defaultKeyRangeGuards";
import { isConvicted } from "@auburnarch/admission/isConvicted";
import { isTrialDue } from "@auburnarch/admission/isTrialDue";
import { defaultDocumentSyncGuards } from "@auburnarch/documents/defaultDocumentSyncGuards";
import { defaultLeaseGuards } from "@auburnarch/lease/defaultLeaseGuards";
import { defaultOwnerGuards } from "@auburnarch/ownership/defaultOwnerGuards";
import { defaultSidecarGuards } from "@auburnarch/sidecar/defaultSidecarGuards";
import { defaultSendGuards } from "@auburnarch/transport/defaultSendGuards";
import type { FaultGuards } from "./FaultGuards.js";

/** The guards used in production. */
export const defaultFaultGuards: FaultGuards = {
    owner: defaultOwnerGuards,
    gate: defaultSidecarGuards,
    lease: defaultLeaseGuards,
    spread: defaultDocumentSyncGuards,
    send: defaultSendGuards,
    keyRange: defaultKeyRangeGuards,
    quarantine: { isConvicted, isTrialDue },
};
