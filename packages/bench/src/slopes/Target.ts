/** The fleet that the product is to carry in two years. */
export interface Target {
    entries: number;
    samplers: number;
    jobs: number;
    keyRanges: number;
    changesPerDay: number;
    regions: number;
    /** What a daemon may spend for control. */
    budget: { coreRatio: number; memoryBytes: number; bytesPerSecond: number; };
    /** Time for a change to be in force everywhere. */
    configMs: number;
    /** Rates of the object API; a quarter of them is the fleet's. */
    storeWritesPerSecond: number;
    storeReadsPerSecond: number;
    storeShare: number;
}
