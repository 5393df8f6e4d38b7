import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { AttemptStanding } from "./AttemptStanding.js";

/**
 * The checks that a gate's promises rest on, one function each; every one returns true to let something pass.
 * The fault bench replaces one at a time by a function that always returns true and must see a promise broken.
 */
export interface SidecarGuards {
    /** An attempt that was declared not run must not run. */
    tombstone(standing: AttemptStanding): boolean;
    /** An attempt id runs once. */
    duplicate(standing: AttemptStanding): boolean;
    /** Work before this incarnation has been told what is in force: limits, and contents that are refused. */
    informed(isInformed: boolean): boolean;
    leaving(isLeaving: boolean): boolean;
    shuttingDown(isShuttingDown: boolean): boolean;
    /** `deadVms` is the number of VMs that the content killed. */
    quarantine(crashedVms: number): boolean;
    /** A content that a death counts against, while another such content is in flight here. */
    suspectsApart(isSuspectBeside: boolean): boolean;
    /** A trial of a refused content, and any other work: never both at one sampler. */
    trialAlone(isAlone: boolean): boolean;
    /** Work and orders of an owner that has been replaced. */
    fencing(highest: FencingNumber | undefined, given: FencingNumber): boolean;
    /** Orders before this incarnation has read the job's number. */
    fencingLearned(isLearned: boolean): boolean;
    /** Samples while it is not known what the engine serves. */
    versionKnown(isKnown: boolean): boolean;
    minVersion(served: WeightVersion, required: WeightVersion): boolean;
    /** Work whose deadline has passed. */
    deadline(leftMs: number): boolean;
    queueBound(waiting: number, bound: number): boolean;
    /** Tokens of weights other than those that the gate believes to be served. */
    provenance(isExpected: boolean): boolean;
    /** A swap while samples run whose tokens the engine does not stamp; `running` of them. */
    swapDrained(running: number): boolean;
    /** An order to load a version older than the served one. */
    orderForward(served: WeightVersion | undefined, ordered: WeightVersion): boolean;
    /** A configuration or quarantine list no newer than the present one. */
    configForward(present: number, offered: number): boolean;
}
