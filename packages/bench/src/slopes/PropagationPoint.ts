/** Time for one change of configuration to come into force. */
export interface PropagationPoint {
    entries: number;
    samplers: number;
    condition: "clean" | "loss" | "deadRelay" | "slowRelay";
    /** From the write's answer until every entry has it; undefined if not within the limit. */
    entriesMs: number | undefined;
    /** The same for every sidecar as well. */
    everywhereMs: number | undefined;
}
