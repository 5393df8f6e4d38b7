import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";

/** Digests that were in flight when an engine of this sampler died. */
export interface Suspects {
    /** Notes the digest as in flight; the returned function ends that. */
    addInFlight(digest: ContentDigest): () => void;
    /** Everything in flight becomes suspect of the death of this engine incarnation. */
    recordCrash(bootId: string): void;
    /** One digest becomes suspect of a death. */
    addSuspect(digest: ContentDigest, bootId: string): void;
    /** A clean finish clears the digest. */
    clear(digest: ContentDigest): void;
    /** Whether a death of this sampler counts against the digest. */
    isSuspect(digest: ContentDigest): boolean;
    /** Other digests in flight here. */
    othersInFlight(digest: ContentDigest): ContentDigest[];
    list(): SamplerReport["suspects"];
}
