/** Kinds of the store's objects that hold batch jobs. */
export const batchJobKinds = {
    /** `BatchJobEntry` by batch job ID. */
    entries: "lots",
    /** `BatchJob` by batch job ID. */
    bodies: "lot-bodies",
    /** `ResultChunk` by batch job ID and chunk number. */
    results: "lot-results",
} as const;
