import type { ContentDigest } from "@auburnarch/types/ContentDigest";

/** Hears how the attempts at one sampler end. */
export interface AttemptObserver {
    /** Whether the sidecar was reached. */
    noteReached(reached: boolean): void;
    /** A sample of this content ended whole. */
    noteCleanFinish(digest: ContentDigest): void;
    /** An attempt of this content broke off without an answer. */
    noteLost(digest: ContentDigest): void;
}
