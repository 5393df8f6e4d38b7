import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { AttemptStatus } from "./AttemptStatus.js";

/**
 * The checks that enforce a sidecar's guarantees, one function each; every one returns true to let something pass. The
 * fault bench replaces one at a time by a function that always returns true, and must then detect a violated guarantee.
 */
export interface SidecarGuards {
    /** An attempt that was reported as not run must not run. */
    tombstone(status: AttemptStatus): boolean;
    /** An attempt id runs at most once. */
    duplicate(status: AttemptStatus): boolean;
    /** Work before this incarnation has received the active limits and the quarantine list. */
    informed(isInformed: boolean): boolean;
    leaving(isLeaving: boolean): boolean;
    shuttingDown(isShuttingDown: boolean): boolean;
    /** `crashedVms` is the number of VMs whose crashes count against the content. */
    quarantine(crashedVms: number): boolean;
    /** A content that a crash counts against, while another such content is in flight here. */
    suspectsApart(isSuspectBeside: boolean): boolean;
    /** A trial of a quarantined content and any other work: never both at one sampler. */
    trialAlone(isAlone: boolean): boolean;
    /** Work and orders of an owner that has been replaced. */
    fencing(highest: FencingNumber | undefined, given: FencingNumber): boolean;
    /** Orders before this incarnation has read the job's fencing number. */
    fencingLearned(isLearned: boolean): boolean;
    /** Samples while the version that the engine serves is unknown. */
    versionKnown(isKnown: boolean): boolean;
    minVersion(served: WeightVersion, required: WeightVersion): boolean;
    /** Work whose deadline has passed. */
    deadline(leftMs: number): boolean;
    queueBound(waiting: number, bound: number): boolean;
    /** Tokens of weights other than those that the engine is expected to serve. */
    provenance(isExpected: boolean): boolean;
    /** A swap while `running` samples are active whose tokens the engine does not stamp. */
    swapDrained(running: number): boolean;
    /** An order to load a version older than the served one. */
    orderForward(served: WeightVersion | undefined, ordered: WeightVersion): boolean;
    /** A configuration or quarantine list that is not newer than the current one. */
    configForward(present: number, offered: number): boolean;
}
