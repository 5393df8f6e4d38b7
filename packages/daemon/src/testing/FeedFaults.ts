/** What is wrong, as each process meets it. */
export interface FeedFaults {
    isStoreDown: (process: string) => boolean;
    isReachable: (from: string, to: string) => boolean;
}
