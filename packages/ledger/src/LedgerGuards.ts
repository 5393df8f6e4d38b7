import type { SampleGroup } from "@auburnarch/types/SampleGroup";

/** The checks that keep a ledger exact. */
export interface LedgerGuards {
    /** True if the group may be offered. */
    isWholeGroup: (group: SampleGroup, groupSize: number) => boolean;
}
