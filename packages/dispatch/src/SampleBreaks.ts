import type { SampleId } from "@auburnarch/types/SampleId";
import type { SamplerId } from "@auburnarch/types/SamplerId";

/** Breaks of the samples' contents at samplers, as known to all dispatchers and processes that share them. */
export interface SampleBreaks {
    /** Time for which the sample must not be sent to any sampler; 0 if it may be sent now. */
    pauseMs(sample: SampleId): number;
    recordBreak(sample: SampleId, sampler: SamplerId): void;
    /** Records that the sample was completed; its content was not the cause of earlier breaks. */
    recordCompletion(sample: SampleId): void;
}
