import type { Lease } from "@auburnarch/types/Lease";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoredChange } from "@auburnarch/types/StoredChange";
import type { createLeaseObserver } from "./createLeaseObserver.js";
import type { LeaseDeps } from "./LeaseDeps.js";

interface LeaseWaiterDeps extends Pick<LeaseDeps, "store" | "clock" | "random"> {
    observer: ReturnType<typeof createLeaseObserver>;
    ttlMs: number;
    tryAcquire: (key: string) => Promise<Lease | undefined>;
}

/** Repeats attempts until the lease is acquired; undefined once the signal is aborted. */
type AcquireLease = (key: string, signal: AbortSignal) => Promise<Lease | undefined>;

const retriesPerTerm = 3;
/** Waiters add a random delay of up to the term divided by this, so that few of them race for an expired lease. */
const jitterDivisor = 20;
const startRevision = 0 as ObjectVersion;

/** Waits for a lease with one watch per change, and reads it only when it may be free. */
export function createLeaseWaiter(deps: LeaseWaiterDeps): AcquireLease {
    const { store, clock, random, observer, ttlMs, tryAcquire } = deps;

    function recordChange(change: StoredChange): void {
        const knownVersion = observer.observed(change.key)?.object?.version ?? startRevision;
        if (change.value !== undefined) {
            observer.record(change.key, change);
        }
        else if (change.version > knownVersion) {
            observer.replace(change.key, undefined);
        }
    }

    /** Waits until the lease may be free: the watch reports a change, the timeout covers an expiry. */
    async function waitUntilAvailable(
        key: string,
        since: ObjectVersion,
        signal: AbortSignal,
    ): Promise<ObjectVersion> {
        const known = observer.observed(key);
        const jitterMs = (ttlMs / jitterDivisor) * random.nextUnit();
        const delayMs = known === undefined
            ? ttlMs / retriesPerTerm
            : observer.availableInMs(known) + jitterMs;
        const startedAtMs = clock.monotonicMs();
        try {
            const found = await store.watch(key, since, delayMs);
            found.changes.filter(change => change.key === key).forEach(recordChange);
            return found.revision;
        }
        catch {
            const leftMs = Math.min(delayMs, ttlMs / retriesPerTerm) - (clock.monotonicMs() - startedAtMs);
            await clock.sleep(Math.max(0, leftMs), signal);
            return since;
        }
    }

    return async (key, signal) => {
        let revision = startRevision;
        while (!signal.aborted) {
            const known = observer.observed(key);
            const mayBeAvailable = known === undefined || observer.availableInMs(known) === 0;
            const lease = mayBeAvailable ? await tryAcquire(key).catch(() => undefined) : undefined;
            if (lease !== undefined) {
                return lease;
            }
            // Continuing from the last revision reports each change once, so that the loop cannot spin on it.
            revision = await waitUntilAvailable(key, revision, signal);
        }
        return undefined;
    };
}
