import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** The text generated for an item so far. */
interface CachedText {
    spans: TokenSpan[];
    /** Whether it includes the last event. */
    isComplete: boolean;
}

/** Copies of texts that other runners generate, by batch job. They share the size limit of the cache. */
interface CachedCopies {
    put(lot: BatchJobId, item: SampleId, text: CachedText): void;
    find(lot: BatchJobId, item: SampleId): CachedText | undefined;
    drop(lot: BatchJobId, item: SampleId): void;
    list(): { lot: BatchJobId; item: SampleId; }[];
}

/**
 * Cache of texts of items that may be requested again: items of a group that was incomplete when its batch job ended
 * are submitted again with a later batch job under the same ids.
 */
export interface TextCache {
    /** Whether texts outlive the process, so that saving unfinished ones is worthwhile. */
    isPersistent: boolean;
    /** Keys are those of `textKeyOf`. */
    put(key: string, text: CachedText): void;
    /** Returns the cached text if all of it was generated with `minVersion` or newer. */
    find(key: string, minVersion: WeightVersion): CachedText | undefined;
    copies: CachedCopies;
}
