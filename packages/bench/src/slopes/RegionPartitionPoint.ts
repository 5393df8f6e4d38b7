/** Two regions that lose each other for some minutes. */
export interface RegionPartitionPoint {
    entries: number;
    cutMs: number;
    /** Peers trusted by the entry that trusts fewest, at the end of the cut. */
    leastPeersDuringCut: number;
    /** From the end of the cut until every entry trusts all others; undefined if not within the limit. */
    mergedMs: number | undefined;
    /** From the end of the cut until a change made during it is in force on every entry. */
    configMs: number | undefined;
}
