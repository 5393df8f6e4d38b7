import type { Sample } from "@auburnarch/types/Sample";
import type { SampleGroup } from "@auburnarch/types/SampleGroup";
import type { CommitResult } from "./CommitResult.js";

/** Which samples of one step are made. The first verified attempt of a sample wins until it is reopened. */
export interface StepLedger {
    commit(sample: Sample): CommitResult;
    /** The group if every sample of it is there, undefined otherwise. */
    wholeGroup(group: number): SampleGroup | undefined;
    /** Indexes of the group's samples that are not there. */
    missing(group: number): number[];
    /** The samples of the group that are there. */
    present(group: number): Sample[];
    /** Takes samples out again, for making them anew. */
    reopen(group: number, indexes: readonly number[]): void;
    /** Samples that are there, over all groups. */
    size(): number;
}
