/** What the logs tell of one batch job; times in milliseconds from its acceptance, undefined where no line tells. */
export interface StepRow {
    lot: string;
    policy: string;
    step: number;
    items: number;
    neededGroups: number | undefined;
    /** ISO 8601. */
    acceptedAt: string;
    /** How far its trainer was behind its own rhythm when it asked for it; undefined for its first step. */
    lateMs: number | undefined;
    firstSentMs: number | undefined;
    /** When half of the items, nine tenths and all were recorded. */
    halfMs: number | undefined;
    mostMs: number | undefined;
    allMs: number | undefined;
    /** When its client ended it: it has all it waits for, or gave up. */
    endedMs: number | undefined;
    records: number;
    sends: number;
    refused: number;
    moved: number;
    retried: number;
    /** Runners that took it, in order. */
    runners: string[];
}
