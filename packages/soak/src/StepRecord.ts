/** One batch job as its trainer saw it. */
export interface StepRecord {
    lot: string;
    model: string;
    minVersion: number;
    items: string[];
    /** Status of each submission that was answered; 0 for one that broke off. */
    submissions: number[];
    isAccepted: boolean;
    /** Results by position, as JSON, with the time at which each was first read. */
    positions: Map<number, { result: string; readAtMs: number; }>;
    /** When the end was acknowledged. */
    endedAtMs: number | undefined;
    /** The trainer has asked for the end. */
    isEndRequested: boolean;
}
