/** Tracks outages of the store, as distinct from times at which only this process was disconnected from it. */
export interface OutageTracker {
    /** Milliseconds since the latest outage, 0 during an outage; infinite if no runner reported one. */
    sinceOutageMs(): number;
    /** Records a runner's report of an outage that ended this long ago, or continues if 0. */
    recordOutage(sinceOutageMs: number): void;
    /** Records a runner's report that it had no outage. */
    recordStoreUp(): void;
}
