/** Time until the other entries detect the failure of one entry. */
export interface DetectionPoint {
    entries: number;
    /** Time until half (`halfMs`) and all of the others no longer trust it; undefined if not within the limit. */
    halfMs: number | undefined;
    allMs: number | undefined;
    /** Number of suspicions of entries that were running. */
    falseSuspicions: number;
}
