/** Time for the death of one entry to be known. */
export interface DetectionPoint {
    entries: number;
    /** Until half and until all of the others trust it no more; undefined if not within the limit. */
    halfMs: number | undefined;
    allMs: number | undefined;
    /** Entries that were suspected although they lived. */
    falseSuspicions: number;
}
