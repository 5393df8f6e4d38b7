import type { Clock } from "@auburnarch/types/Clock";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import type { LeaseGuards } from "./LeaseGuards.js";
import { parseLeaseValue } from "./parseLeaseValue.js";

/** A lease as last observed by this process, with the monotonic time at which its change was observed. */
interface ObservedLease {
    object: StoredObject | undefined;
    changedAtMs: number;
}

interface LeaseObserver {
    /** Records the result of a read or watch unless a newer version is known; returns the newest observation. */
    record(key: string, object: StoredObject | undefined): ObservedLease;
    /** Records the object returned by a conflicting write, which is always the current one. */
    replace(key: string, object: StoredObject | undefined): void;
    forget(key: string): void;
    observed(key: string): ObservedLease | undefined;
    /** Milliseconds until the lease may be taken over if it does not change; 0 if it is free. */
    availableInMs(lease: ObservedLease): number;
}

/** Measures the age of other holders' leases on this process's monotonic clock, from when each change was observed. */
export function createLeaseObserver(clock: Clock, guards: LeaseGuards, defaultTtlMs: number): LeaseObserver {
    const leases = new Map<string, ObservedLease>();

    function replace(key: string, object: StoredObject | undefined): ObservedLease {
        const fresh = { object, changedAtMs: clock.monotonicMs() };
        leases.set(key, fresh);
        return fresh;
    }

    return {
        record: (key, object) => {
            const known = leases.get(key);
            const isNewer = known?.object === undefined || (object?.version ?? 0) > known.object.version;
            // A lagging replica or a late response may return an older version, which must not restart the timer.
            return known === undefined || isNewer ? replace(key, object) : known;
        },
        replace,
        forget: key => void leases.delete(key),
        observed: key => leases.get(key),
        availableInMs: ({ object, changedAtMs }) => {
            const value = parseLeaseValue(object?.value);
            const isReleased = value !== undefined && value.holder === undefined;
            if (object === undefined || isReleased) {
                return 0;
            }
            const unchangedMs = clock.monotonicMs() - changedAtMs;
            return Math.max(0, guards.takeOverAfterMs(value?.ttlMs ?? defaultTtlMs) - unchangedMs);
        },
    };
}
