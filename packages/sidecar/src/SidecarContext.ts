import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { LimitsManifest } from "@auburnarch/types/LimitsManifest";
import type { UsageCounters } from "@auburnarch/usage/UsageCounters";
import type { AdaptiveLimit } from "./AdaptiveLimit.js";
import type { AttemptTable } from "./AttemptTable.js";
import type { FencingTable } from "./FencingTable.js";
import type { PlainHealth } from "./PlainHealth.js";
import type { QuarantineList } from "./QuarantineList.js";
import type { RunningGeneration } from "./RunningGeneration.js";
import type { ServedWeights } from "./ServedWeights.js";
import type { SidecarDependencies } from "./SidecarDependencies.js";
import type { SidecarFlags } from "./SidecarFlags.js";
import type { SidecarGuards } from "./SidecarGuards.js";
import type { Slots } from "./Slots.js";
import type { Suspects } from "./Suspects.js";
import type { TrialReservation } from "./TrialReservation.js";
import type { WorkAbort } from "./WorkAbort.js";

/** State and dependencies shared by the parts of one sidecar. */
export interface SidecarContext {
    deps: SidecarDependencies;
    guards: SidecarGuards;
    incarnation: IncarnationId;
    flags: SidecarFlags;
    /** Whether this incarnation has received its configuration from an entry, or has waited for it long enough. */
    isInformed: () => boolean;
    limits: () => Pick<LimitsManifest, "maxQueuedPerTeam" | "interactiveWaitMs">;
    attempts: AttemptTable;
    fencing: FencingTable;
    quarantine: QuarantineList;
    suspects: Suspects;
    limit: AdaptiveLimit;
    slots: Slots;
    trialReservation: TrialReservation;
    usage: UsageCounters;
    /** Undefined for the sampler of a plain service. */
    weights: ServedWeights | undefined;
    plainHealth: PlainHealth;
    /** All accepted work that has not ended. */
    inFlight: Set<WorkAbort>;
    /** Generations running at the engine. */
    generations: Set<RunningGeneration>;
}
