/** One batch job, summarized from logs. Times are in milliseconds since it was accepted; undefined if not logged. */
export interface StepRow {
    lot: string;
    policy: string;
    step: number;
    items: number;
    neededGroups: number | undefined;
    /** ISO 8601. */
    acceptedAt: string;
    /** Delay of the batch job against the trainer's shortest step interval; undefined for the first step. */
    lateMs: number | undefined;
    /** How late the runners took the trainer to be at this step; undefined if the logs do not state it. */
    trainerLateMs: number | undefined;
    firstSentMs: number | undefined;
    /** When 50%, 90% and 100% of the items were recorded. */
    halfMs: number | undefined;
    mostMs: number | undefined;
    allMs: number | undefined;
    /** When the client ended the batch job, because it has all results that it needs or stopped waiting for them. */
    endedMs: number | undefined;
    records: number;
    sends: number;
    refused: number;
    moved: number;
    retried: number;
    /** Runners that took over the batch job, in order. */
    runners: string[];
}
