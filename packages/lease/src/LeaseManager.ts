import type { Lease } from "@auburnarch/types/Lease";
import type { StoredObject } from "@auburnarch/types/StoredObject";

/** Acquires leases and observes those of other holders. */
export interface LeaseManager {
    /**
     * Makes one attempt. Undefined while the lease is held by another, which is assumed until it has been observed
     * unchanged for its whole term; that takes at least two attempts or observations. Rejects with `storeUnavailable`
     * or `storeThrottled`.
     */
    tryAcquire(key: string): Promise<Lease | undefined>;
    /** Repeats attempts until the lease is acquired; undefined once `signal` is aborted. */
    acquire(key: string, signal: AbortSignal): Promise<Lease | undefined>;
    /** Records a lease object that was read elsewhere, such as by a single watch over all leases. */
    observe(object: StoredObject): void;
    /** Last observed holder, and how long its lease has been unchanged; undefined if the lease was never observed. */
    lastObserved(key: string): { holder: string | undefined; unchangedMs: number; } | undefined;
    /** Releases all held leases, for a graceful shutdown. */
    releaseAll(): Promise<void>;
}
