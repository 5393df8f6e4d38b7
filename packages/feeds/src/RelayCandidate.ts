import type { StoreReach } from "./StoreReach.js";

/** A runner that may relay store calls, as the calling process knows it. */
export interface RelayCandidate {
    name: string;
    /** What it reported last; undefined if it did not answer. */
    reach: StoreReach | undefined;
    isLeaving: boolean;
    /** Age of that report. */
    reportAgeMs: number;
    /** It failed a call recently, or does not know the method. */
    isExcluded: boolean;
}
