/** What one request of a caller met until it was served or its deadline had passed. */
export interface CallerRecord {
    team: string;
    requestIds: string[];
    /** Ids of the requests that were answered as not run. */
    refusedIds: string[];
    /** Time until each refusal. */
    refusedAfterMs: number[];
    /** Monotonic times at which it returned after a refusal. */
    returnedAtMs: number[];
    /** Time from the first request to the answer; undefined if it was not served in time. */
    servedAfterMs: number | undefined;
}
