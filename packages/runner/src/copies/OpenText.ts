import type { SampleId } from "@auburnarch/types/SampleId";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";

/** The text of an item that has no result in the store yet. */
export interface OpenText {
    item: SampleId;
    spans: TokenSpan[];
    /** Whether it includes the last event. */
    isComplete: boolean;
}
