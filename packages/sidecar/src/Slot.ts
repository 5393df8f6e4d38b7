/** One of the backend server's concurrent places, as granted to a request. */
export interface Slot {
    waitedMs: number;
    /** Number of other running requests when the slot was granted. */
    othersRunning: number;
    /** Releases the slot; `engineMs` is charged to the team. Only the first call counts. */
    release(engineMs: number): void;
}
