/** One `key=value` log line of a process, without a prefix added by a log collector. */
export interface LogLine {
    atMs: number;
    /** ISO 8601. */
    time: string;
    event: string;
    fields: ReadonlyMap<string, string>;
}
