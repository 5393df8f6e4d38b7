import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { VersionBounds } from "@auburnarch/validation/VersionBounds";
import type { OpenStep } from "./OpenStep.js";

/** What an owner knows of its job; one record that the parts of the owner share. */
export interface JobState {
    job: JobManifest;
    publishedVersion: WeightVersion;
    steps: Map<number, OpenStep>;
    /** Digest by number of the steps whose trainer has every group. */
    completed: Map<number, string>;
    /** Every step below this number is over. */
    retiredBelow: number;
    /** Engine time of completed steps only. */
    completedEngineMs: number;
    completedSamples: number;
    completedTokens: number;
    discardedEngineMs: number;
    /** Versions that a sample delivered now may name. */
    bounds(): VersionBounds;
}
