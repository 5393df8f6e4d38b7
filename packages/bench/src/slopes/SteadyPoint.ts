/** Measurements of one fleet after it has settled. Call and byte rates of entries and sidecars are per process. */
export interface SteadyPoint {
    entries: number;
    samplers: number;
    jobs: number;
    changesPerHour: number;
    entryBytesPerSecond: number;
    entryCallsPerSecond: number;
    sidecarBytesPerSecond: number;
    sidecarCallsPerSecond: number;
    /** Processor time of the whole simulation per simulated second, including the test harness. */
    cpuUsPerSecond: number;
    /** Live heap of the whole simulation, including the test harness. */
    heapBytes: number;
    storeCallsPerSecond: number;
    suspicions: number;
}
