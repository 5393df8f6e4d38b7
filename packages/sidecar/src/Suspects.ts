import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";

/** Content digests that were in flight when an engine of this sampler crashed. */
export interface Suspects {
    /** Records the digest as in flight; the returned function ends that. */
    addInFlight(digest: ContentDigest): () => void;
    /** All digests in flight become suspect of the crash of this engine incarnation. */
    recordCrash(bootId: string): void;
    /** One digest becomes suspect of a crash. */
    addSuspect(digest: ContentDigest, bootId: string): void;
    /** A clean finish clears the digest. */
    clear(digest: ContentDigest): void;
    /** Whether a crash of this sampler counts against the digest. */
    isSuspect(digest: ContentDigest): boolean;
    /** Other digests in flight here. */
    othersInFlight(digest: ContentDigest): ContentDigest[];
    list(): SamplerReport["suspects"];
}
