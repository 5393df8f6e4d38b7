import type { JobId } from "./JobId.js";
import type { PolicyId } from "./PolicyId.js";
import type { ServiceId } from "./ServiceId.js";
import type { TeamId } from "./TeamId.js";

/** A rollout job as the manifest defines it. */
export interface JobManifest {
    job: JobId;
    team: TeamId;
    /** Rollout service whose samplers generate the samples. */
    service: ServiceId;
    policy: PolicyId;
    /** Name of the scoring service. */
    scoring: string;
    groupSize: number;
    samplesPerStep: number;
    /** A sample is delivered only if no span is more than this many versions behind the published one. */
    maxStalenessVersions: number;
    /** Milliseconds from the opening of a step until its trainer needs it complete. */
    stepNeedMs: number;
    /** From 1 to 10; higher is served first within a team. */
    priority: number;
    /** 0 favours short trainer idle time, 1 favours samples of recent weight versions. */
    freshnessWeight: number;
}
