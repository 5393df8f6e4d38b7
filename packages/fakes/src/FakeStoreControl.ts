import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoreCallCounts } from "./StoreCallCounts.js";

/** Injects faults into a fake object store and counts the calls. */
export interface FakeStoreControl {
    /** During an outage every call rejects with `storeUnavailable`, and so do watches that are already waiting. */
    setOutage(down: boolean): void;
    /** Adds `ms` to the latency of each call. */
    setSlow(ms: number): void;
    /** The next `count` writes or removals take effect but reject with `storeUnavailable`. */
    loseAnswers(count: number): void;
    /** Reads and lists return the state of `revisionLag` changes ago, as from a lagging replica. */
    setStaleReads(revisionLag: number): void;
    calls(): StoreCallCounts;
    revision(): ObjectVersion;
    /** The current value under `key`, regardless of faults; for assertions. */
    peek(key: string): unknown;
    keys(): string[];
}
