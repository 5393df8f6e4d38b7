/** One fleet, measured once it had settled. Rates are per process and second. */
export interface SteadyPoint {
    entries: number;
    samplers: number;
    jobs: number;
    changesPerHour: number;
    entryBytesPerSecond: number;
    entryCallsPerSecond: number;
    sidecarBytesPerSecond: number;
    sidecarCallsPerSecond: number;
    /** Processor time of the whole simulation for one simulated second, harness included. */
    cpuUsPerSecond: number;
    /** Live heap of the whole simulation, harness included. */
    heapBytes: number;
    storeCallsPerSecond: number;
    suspicions: number;
}
