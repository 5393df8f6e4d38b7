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

/** What the parts of one gate share. */
export interface SidecarContext {
    deps: SidecarDependencies;
    guards: SidecarGuards;
    incarnation: IncarnationId;
    flags: SidecarFlags;
    /** Whether an entry has told this incarnation what is in force, or it has waited for that long enough. */
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
    /** Undefined for a plain sampler. */
    weights: ServedWeights | undefined;
    plainHealth: PlainHealth;
    /** All work taken and not yet ended. */
    inFlight: Set<WorkAbort>;
    /** Generations running at the engine. */
    generations: Set<RunningGeneration>;
}
