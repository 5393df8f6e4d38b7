/** Kinds of the store's objects that hold batch jobs. */
export const batchJobKinds = {
    /** `LotEntry` by job. */
    entries: "lots",
    /** `Lot` by job. */
    bodies: "lot-bodies",
    /** `ResultChunk` by job and number. */
    results: "lot-results",
} as const;
