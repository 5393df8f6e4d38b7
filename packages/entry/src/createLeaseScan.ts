import type { LeaseManager } from "@auburnarch/lease/LeaseManager";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";

/** From this number of leases, one list call costs less than reading each lease. */
const minKeysToList = 8;

interface LeaseScanDeps {
    store: Pick<ObjectStore, "list">;
    leases: Pick<LeaseManager, "observe" | "lastObserved">;
    /** Common prefix of the keys. */
    prefix: string;
    ttlMs: number;
}

/**
 * Creates the scan that finds the leases that may be acquirable: free ones, and those not renewed for a full TTL. With
 * few entries, each is a standby for many leases; an acquisition attempt costs a read, and most leases are held.
 */
export function createLeaseScan(deps: LeaseScanDeps): (keys: string[]) => Promise<string[]> {
    const { leases, ttlMs } = deps;

    return async keys => {
        if (keys.length < minKeysToList) {
            return keys;
        }
        const { objects } = await deps.store.list(deps.prefix);
        const existingKeys = new Set(objects.map(object => object.key));
        objects.forEach(leases.observe);
        return keys.filter(key => {
            const seen = leases.lastObserved(key);
            return !existingKeys.has(key) || seen?.holder === undefined || seen.unchangedMs >= ttlMs;
        });
    };
}
