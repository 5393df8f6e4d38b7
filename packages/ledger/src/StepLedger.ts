import type { Sample } from "@auburnarch/types/Sample";
import type { SampleGroup } from "@auburnarch/types/SampleGroup";
import type { CommitResult } from "./CommitResult.js";

/** The completed samples of one step. The first verified attempt of a sample wins until the sample is reopened. */
export interface StepLedger {
    commit(sample: Sample): CommitResult;
    /** The group if all of its samples are present, undefined otherwise. */
    wholeGroup(group: number): SampleGroup | undefined;
    /** Indexes of the group's missing samples. */
    missing(group: number): number[];
    /** The group's samples that are present. */
    present(group: number): Sample[];
    /** Removes samples, so that they can be generated again. */
    reopen(group: number, indexes: readonly number[]): void;
    /** Number of samples that are present, over all groups. */
    size(): number;
}
