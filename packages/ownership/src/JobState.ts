import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { VersionBounds } from "@auburnarch/validation/VersionBounds";
import type { OpenStep } from "./OpenStep.js";

/** In-memory state of a job, shared by the parts of its owner. */
export interface JobState {
    job: JobManifest;
    publishedVersion: WeightVersion;
    steps: Map<number, OpenStep>;
    /** Prompt digests by step number, for the steps of which the trainer has acknowledged every group. */
    completed: Map<number, string>;
    /** Every step below this number is finished. */
    retiredBelow: number;
    /** Engine time of completed steps only. */
    completedEngineMs: number;
    completedSamples: number;
    completedTokens: number;
    discardedEngineMs: number;
    /** Bounds of the weight versions that a sample delivered now may contain. */
    bounds(): VersionBounds;
}
