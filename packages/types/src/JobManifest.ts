import type { JobId } from "./JobId.js";
import type { PolicyId } from "./PolicyId.js";
import type { ServiceId } from "./ServiceId.js";
import type { TeamId } from "./TeamId.js";

/** A rollout job as the manifest binds it. */
export interface JobManifest {
    job: JobId;
    team: TeamId;
    /** Rollout service whose samplers make the samples. */
    service: ServiceId;
    policy: PolicyId;
    /** Scoring service by name. */
    scoring: string;
    groupSize: number;
    samplesPerStep: number;
    /** A sample is delivered only if no span is more than this many versions behind the published one. */
    maxStalenessVersions: number;
    /** Milliseconds from opening a step to when its trainer needs it whole. */
    stepNeedMs: number;
    /** 1 to 10; higher is served first within a team. */
    priority: number;
    /** 0 favours short trainer idle time, 1 favours fresh samples. */
    freshnessWeight: number;
}
