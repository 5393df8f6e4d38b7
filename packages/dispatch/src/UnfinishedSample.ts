import type { SampleId } from "@auburnarch/types/SampleId";
import type { SamplerId } from "@auburnarch/types/SamplerId";

/** A submitted sample that is not finished yet. */
export interface UnfinishedSample {
    sample: SampleId;
    /** Expected number of tokens that are still to be generated. */
    remainingTokens: number;
    /** The sampler that runs it; undefined while it waits. */
    sampler: SamplerId | undefined;
}
