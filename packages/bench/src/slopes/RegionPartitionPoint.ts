/** Result of a network partition of two regions for several minutes. */
export interface RegionPartitionPoint {
    entries: number;
    cutMs: number;
    /** Number of peers trusted by the entry that trusts the fewest, at the end of the partition. */
    leastPeersDuringCut: number;
    /** Time from the end of the partition until every entry trusts all others; undefined if not within the limit. */
    mergedMs: number | undefined;
    /** Time from the end of the partition until a change made during it is in effect on every entry. */
    configMs: number | undefined;
}
