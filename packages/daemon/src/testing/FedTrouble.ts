/** What is wrong, as each process meets it. */
export interface FedTrouble {
    isStoreAway: (process: string) => boolean;
    isReached: (from: string, to: string) => boolean;
}
