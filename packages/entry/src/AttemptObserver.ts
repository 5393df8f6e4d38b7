import type { ContentDigest } from "@auburnarch/types/ContentDigest";

/** Receives the results of attempts at one sampler. */
export interface AttemptObserver {
    /** Reports whether an attempt reached the sidecar. */
    recordContact(isReachable: boolean): void;
    /** A sample with this content completed. */
    recordCleanFinish(digest: ContentDigest): void;
    /** The connection broke before an attempt with this content was answered. */
    recordInterrupted(digest: ContentDigest): void;
}
