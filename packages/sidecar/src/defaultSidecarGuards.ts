import type { SidecarGuards } from "./SidecarGuards.js";

/** Crashes on this many different VMs quarantine a content. */
const quarantineVmThreshold = 2;

/** The guards used outside the fault bench. */
export const defaultSidecarGuards: SidecarGuards = {
    tombstone: status => status !== "tombstone" && status !== "refused",
    duplicate: status => status !== "running" && status !== "finished",
    informed: isInformed => isInformed,
    leaving: isLeaving => !isLeaving,
    shuttingDown: isShuttingDown => !isShuttingDown,
    quarantine: crashedVms => crashedVms < quarantineVmThreshold,
    suspectsApart: isSuspectBeside => !isSuspectBeside,
    trialAlone: isAlone => isAlone,
    fencing: (highest, given) => highest === undefined || given >= highest,
    fencingLearned: isLearned => isLearned,
    versionKnown: isKnown => isKnown,
    minVersion: (served, required) => served >= required,
    deadline: leftMs => leftMs > 0,
    queueBound: (waiting, bound) => waiting < bound,
    provenance: isExpected => isExpected,
    swapDrained: running => running === 0,
    orderForward: (served, ordered) => served === undefined || ordered >= served,
    configForward: (present, offered) => offered > present,
};
