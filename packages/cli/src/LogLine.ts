/** One `key=value` line of a process, without what a collector put before it. */
export interface LogLine {
    atMs: number;
    /** ISO 8601. */
    time: string;
    event: string;
    fields: ReadonlyMap<string, string>;
}
