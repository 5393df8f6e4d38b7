import type { SampleId } from "@auburnarch/types/SampleId";

/** The groups of a batch job that its trainer waits for. */
export interface GroupNeed {
    /** Marks an item as having a result, recorded or not. */
    markFinished(item: SampleId): void;
    /** Whether all groups that the trainer waits for are complete. */
    isMet(): boolean;
}
