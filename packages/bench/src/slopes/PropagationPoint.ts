/** Time until one configuration change takes effect. */
export interface PropagationPoint {
    entries: number;
    samplers: number;
    condition: "clean" | "loss" | "deadRelay" | "slowRelay";
    /** Time from the answer of the write until every entry has the change; undefined if not within the limit. */
    entriesMs: number | undefined;
    /** The same for all entries and sidecars. */
    everywhereMs: number | undefined;
}
