import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** Weight versions that a sample may contain, from the oldest within the staleness bound to the published one. */
export interface VersionBounds {
    minVersion: WeightVersion;
    publishedVersion: WeightVersion;
}
