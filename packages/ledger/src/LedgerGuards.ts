import type { SampleGroup } from "@auburnarch/types/SampleGroup";

/** Checks that keep a ledger correct. */
export interface LedgerGuards {
    /** True if the group may be offered to the trainer. */
    isWholeGroup: (group: SampleGroup, groupSize: number) => boolean;
}
