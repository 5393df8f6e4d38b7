/** Simulated faults, as seen by each process. */
export interface FeedFaults {
    isStoreDown: (process: string) => boolean;
    isReachable: (from: string, to: string) => boolean;
}
