import type { SampleId } from "@auburnarch/types/SampleId";

/** What of a job its trainer waits for. */
export interface GroupNeed {
    /** The item has a result, recorded or not. */
    markFinished(item: SampleId): void;
    /** All that the trainer waits for is there. */
    isMet(): boolean;
}
