import type { SampleId } from "@auburnarch/types/SampleId";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** What was made of an item. */
interface CachedText {
    spans: TokenSpan[];
    /** It has its last event. */
    isComplete: boolean;
}

/**
 * Texts of items that may be asked for again: items of a group that was not whole when its job ended come back in a
 * later job under the same ids.
 */
export interface TextCache {
    /** Texts outlive the process, so that it is worth keeping unfinished ones too. */
    isPersistent: boolean;
    put(item: SampleId, text: CachedText): void;
    /** The kept text if all of it is of `minVersion` or newer. */
    find(item: SampleId, minVersion: WeightVersion): CachedText | undefined;
}
