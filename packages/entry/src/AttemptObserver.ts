import type { ContentDigest } from "@auburnarch/types/ContentDigest";

/** Hears how the attempts at one sampler end. */
export interface AttemptObserver {
    /** Whether the sidecar was reached. */
    recordContact(isReachable: boolean): void;
    /** A sample of this content ended whole. */
    recordCleanFinish(digest: ContentDigest): void;
    /** An attempt of this content broke off without an answer. */
    recordInterrupted(digest: ContentDigest): void;
}
