import type { UsageCounter } from "@auburnarch/types/UsageCounter";

/** Collects the cumulative usage counters of the samplers assigned to this entry and stores them durably. */
export interface UsageCollector {
    start(): void;
    stop(): void;
    /** Reads the counters from all assigned samplers now; resolves with the samplers that did not answer. */
    collect(): Promise<string[]>;
    /** Writes the collected counters if they have changed. */
    flush(): Promise<void>;
    /** Merges the stored counters of all entries with this entry's latest; rejects while the object API is down. */
    readAll(): Promise<UsageCounter[]>;
    /** Returns the counters that this entry has collected. */
    listCollected(): UsageCounter[];
}
