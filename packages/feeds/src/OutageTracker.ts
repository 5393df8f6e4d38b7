/** What a process knows of outages of the store, as told from the times at which only it was cut off. */
export interface OutageTracker {
    /** Milliseconds since the latest outage, or 0 while it lasts; infinite if no runner told of one. */
    sinceOutageMs(): number;
    /** A runner tells of an outage that ended this long ago, or lasts. */
    recordOutage(sinceOutageMs: number): void;
    /** A runner has had the store all the while. */
    recordStoreUp(): void;
}
