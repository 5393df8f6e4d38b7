import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoreCallCounts } from "./StoreCallCounts.js";

/** Faults and counts of a fake object store. */
export interface FakeStoreControl {
    /** While true every call rejects with `storeUnavailable`; waiting watches end the same way. */
    setOutage(down: boolean): void;
    /** Adds `ms` to the latency of each call. */
    setSlow(ms: number): void;
    /** The next `count` writes or removals take effect but reject with `storeUnavailable`. */
    loseAnswers(count: number): void;
    /** Reads and lists show the store as it was `revisionLag` changes ago, as a lagging replica would. */
    setStaleReads(revisionLag: number): void;
    calls(): StoreCallCounts;
    revision(): ObjectVersion;
    /** The value under `key` now, past every fault; for assertions. */
    peek(key: string): unknown;
    keys(): string[];
}
