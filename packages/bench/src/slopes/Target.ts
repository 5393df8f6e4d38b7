/** The fleet size that the product must support in two years, and its budgets. */
export interface Target {
    entries: number;
    samplers: number;
    jobs: number;
    keyRanges: number;
    changesPerDay: number;
    regions: number;
    /** Control overhead allowed per daemon. */
    budget: { coreRatio: number; memoryBytes: number; bytesPerSecond: number; };
    /** Maximum time until a change is in effect everywhere. */
    configMs: number;
    /** Call rates that the object API supports; the fleet may use the fraction `storeShare` of them. */
    storeWritesPerSecond: number;
    storeReadsPerSecond: number;
    storeShare: number;
}
