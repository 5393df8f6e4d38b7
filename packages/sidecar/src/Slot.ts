/** A place at the backend server. */
export interface Slot {
    waitedMs: number;
    /** Others at work when it was granted. */
    othersRunning: number;
    /** Gives the place back; `engineMs` is charged to the team. Only the first call counts. */
    release(engineMs: number): void;
}
