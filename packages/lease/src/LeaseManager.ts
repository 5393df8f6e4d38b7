import type { Lease } from "@auburnarch/types/Lease";
import type { StoredObject } from "@auburnarch/types/StoredObject";

/** Acquires leases and watches those of others. */
export interface LeaseManager {
    /**
     * One try. Undefined while another holds the lease, or until it was seen unchanged for its whole term, which
     * takes at least two tries or observations. Rejects with `storeUnavailable` or `storeThrottled`.
     */
    tryAcquire(key: string): Promise<Lease | undefined>;
    /** Tries until the lease is acquired; undefined once `signal` is aborted. */
    acquire(key: string, signal: AbortSignal): Promise<Lease | undefined>;
    /** Feeds a lease's object seen elsewhere, such as by one watch over all leases. */
    observe(object: StoredObject): void;
    /** Holder last seen, and for how long its lease has not changed; undefined where none was seen. */
    lastObserved(key: string): { holder: string | undefined; unchangedMs: number; } | undefined;
    /** Releases every lease held, for a graceful shutdown. */
    releaseAll(): Promise<void>;
}
