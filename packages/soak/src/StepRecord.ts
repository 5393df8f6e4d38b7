/** One batch job, as seen by its trainer. */
export interface StepRecord {
    lot: string;
    model: string;
    minVersion: number;
    items: string[];
    /** Status of each submission; 0 for one that broke off. */
    submissions: number[];
    isAccepted: boolean;
    /** Results as JSON, by position, with the time at which each was first read. */
    positions: Map<number, { result: string; readAtMs: number; }>;
    /** Time at which the end was acknowledged. */
    endedAtMs: number | undefined;
    /** True once the trainer has requested the end. */
    isEndRequested: boolean;
}
