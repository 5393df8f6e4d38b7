import type { LeaseKeeper } from "@auburnarch/lease/LeaseKeeper";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";

/** From so many leases on, one list costs less than a read of each. */
const minKeysToList = 8;

interface LeaseScanDeps {
    store: Pick<ObjectStore, "list">;
    leases: Pick<LeaseKeeper, "observe" | "lastSeen">;
    /** Common prefix of the keys. */
    prefix: string;
    ttlMs: number;
}

/**
 * Makes the scan that finds the leases worth a try: free ones, and those not renewed for their whole term. With few
 * entries each stands by for many leases; trying each of them would cost a read each, and most are held.
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
            const seen = leases.lastSeen(key);
            return !existingKeys.has(key) || seen?.holder === undefined || seen.unchangedMs >= ttlMs;
        });
    };
}
