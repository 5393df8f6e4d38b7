import type { UsageCounter } from "@auburnarch/types/UsageCounter";

/** Gathers the cumulative counters of the samplers this entry is the collector of, and keeps them durable. */
export interface UsageCollector {
    start(): void;
    stop(): void;
    /** Reads the samplers now; resolves with those that did not answer. */
    collect(): Promise<string[]>;
    /** Writes what was gathered, if it changed. */
    flush(): Promise<void>;
    /** Every entry's durable counters merged with the latest of this one; rejects while the object API is down. */
    readAll(): Promise<UsageCounter[]>;
    /** What this entry has gathered itself. */
    listCollected(): UsageCounter[];
}
