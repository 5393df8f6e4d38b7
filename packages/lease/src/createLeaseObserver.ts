import type { Clock } from "@auburnarch/types/Clock";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import type { LeaseGuards } from "./LeaseGuards.js";
import { parseLeaseValue } from "./parseLeaseValue.js";

/** A lease as this process last saw it, with the monotonic time at which it saw it change. */
interface ObservedLease {
    object: StoredObject | undefined;
    changedAtMs: number;
}

interface LeaseObserver {
    /** Takes what a read or a watch showed, unless something newer was seen; returns what holds now. */
    record(key: string, object: StoredObject | undefined): ObservedLease;
    /** Takes what a refused write showed, which is always the present. */
    replace(key: string, object: StoredObject | undefined): void;
    forget(key: string): void;
    observed(key: string): ObservedLease | undefined;
    /** Milliseconds until the lease may be taken, if it does not change before; 0 for a free one. */
    availableInMs(lease: ObservedLease): number;
}

/** Judges the age of others' leases on this process's monotonic clock, from when it saw each change. */
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
            // A lagging replica or a late answer may show the past; it must not restart the count.
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
