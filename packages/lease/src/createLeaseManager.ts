import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { Lease } from "@auburnarch/types/Lease";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import { createHeldLease } from "./createHeldLease.js";
import { createLeaseObserver } from "./createLeaseObserver.js";
import { createLeaseWaiter } from "./createLeaseWaiter.js";
import { defaultLeaseGuards } from "./defaultLeaseGuards.js";
import { fencingOf } from "./fencingOf.js";
import type { LeaseDeps } from "./LeaseDeps.js";
import type { LeaseManager } from "./LeaseManager.js";
import type { LeaseValue } from "./LeaseValue.js";
import { parseLeaseValue } from "./parseLeaseValue.js";

/** A write that acquires a lease; its response may be lost. */
interface Acquisition {
    writer: string;
    sentAtMs: number;
    /** True if the key had no object when the write was sent. */
    isFirst: boolean;
    found: NonNullable<Lease["found"]>;
}

const defaultTtlMs = 10_000;
const absent = 0 as ObjectVersion;

function foundIn(object: StoredObject | undefined, isOwnEarlier: boolean): Acquisition["found"] {
    if (object === undefined) {
        return "nothing";
    }
    const value = parseLeaseValue(object.value);
    if (isOwnEarlier) {
        return value?.isSettled === true ? "ownEarlier" : "ownUnsettled";
    }
    return value?.holder === undefined ? "released" : "lapsed";
}

/** True if no earlier holder can have acted recently, whatever the new one waits for. */
const isSettledBy = (found: Acquisition["found"]): boolean => found === "nothing" || found === "ownEarlier";

/** Creates the manager of a process's leases in the object API; see `docs/design/03-leases.md`. */
export function createLeaseManager(deps: LeaseDeps): LeaseManager {
    const { store, clock, random, logger, invariants } = deps;
    const { ttlMs = defaultTtlMs, guards = defaultLeaseGuards } = deps;
    const observer = createLeaseObserver(clock, guards, ttlMs);
    const pendingAttempts = new Map<string, Promise<Lease | undefined>>();
    const unresolved = new Map<string, Acquisition>();
    const held = new Map<string, Lease>();

    function registerLease(
        key: string,
        { writer, sentAtMs, isFirst, found }: Acquisition,
        version: ObjectVersion,
    ): Lease {
        const observed = observer.observed(key)?.object;
        const isOwn = parseLeaseValue(observed?.value)?.stamp.writer === writer;
        const before = isOwn ? 0 : fencingOf(observed);
        const fencing = version as number as FencingNumber;
        invariants.check(resultCodes.fencingWentBack, fencing > before, { key, fencing, before });
        logger.info("leaseAcquired", { key, fencing, holder: deps.holder, ttlMs });
        unresolved.delete(key);
        const onEnd = (): void => {
            held.delete(key);
            observer.forget(key);
        };
        const lease = createHeldLease(deps, {
            key,
            fencing,
            version,
            sentAtMs,
            writer,
            ttlMs,
            isFirst,
            found,
            isSettled: isSettledBy(found),
            onEnd,
        });
        held.set(key, lease);
        return lease;
    }

    /** Returns the lease if `object` shows that an unanswered write of this process acquired it. */
    function adopt(key: string, object: StoredObject | undefined): Lease | undefined {
        const pending = unresolved.get(key);
        const stamp = parseLeaseValue(object?.value)?.stamp;
        if (pending === undefined || object === undefined || stamp?.writer !== pending.writer) {
            return undefined;
        }
        return registerLease(key, pending, object.version);
    }

    async function write(
        key: string,
        expected: ObjectVersion,
        found: Acquisition["found"],
    ): Promise<Lease | undefined> {
        const isFirst = expected === absent;
        const sent: Acquisition = { writer: random.nextId(), sentAtMs: clock.monotonicMs(), isFirst, found };
        const stamp = { writer: sent.writer, sequence: 0 };
        const settled = isSettledBy(found) ? { isSettled: true } : {};
        const value: LeaseValue = { holder: deps.holder, fencing: undefined, ttlMs, ...settled, stamp };
        unresolved.set(key, sent);
        const outcome = await store.write(key, value, expected);
        if (outcome.kind === "written") {
            return registerLease(key, sent, outcome.version);
        }
        const adopted = adopt(key, outcome.current);
        if (adopted === undefined) {
            unresolved.delete(key);
            observer.replace(key, outcome.current);
        }
        return adopted;
    }

    async function writeOrReadBack(
        key: string,
        expected: ObjectVersion,
        found: Acquisition["found"],
    ): Promise<Lease | undefined> {
        try {
            return await write(key, expected, found);
        }
        catch (error) {
            if (codeOf(error) !== resultCodes.storeUnavailable) {
                unresolved.delete(key);
                throw error;
            }
            const current = await store.read(key);
            return adopt(key, current);
        }
    }

    async function attemptAcquire(key: string): Promise<Lease | undefined> {
        const existing = held.get(key);
        if (existing !== undefined) {
            // A lapsed lease keeps trying to renew itself.
            return existing.isHeld() ? existing : undefined;
        }
        const object = await store.read(key);
        const adopted = adopt(key, object);
        if (adopted !== undefined) {
            return adopted;
        }
        const known = observer.record(key, object);
        const value = parseLeaseValue(known.object?.value);
        const isOwnEarlier = deps.resumesOwnLeases === true && value?.holder === deps.holder;
        if (observer.availableInMs(known) > 0 && !isOwnEarlier) {
            return undefined;
        }
        return writeOrReadBack(key, known.object?.version ?? absent, foundIn(known.object, isOwnEarlier));
    }

    /** Joins a running attempt: two concurrent attempts of one process would only race each other. */
    function tryAcquire(key: string): Promise<Lease | undefined> {
        const running = pendingAttempts.get(key);
        if (running !== undefined) {
            return running;
        }
        const started = attemptAcquire(key).finally(() => pendingAttempts.delete(key));
        pendingAttempts.set(key, started);
        return started;
    }

    return {
        tryAcquire,
        acquire: createLeaseWaiter({ store, clock, random, observer, ttlMs, tryAcquire }),
        observe: object => void observer.record(object.key, object),
        lastObserved: key => {
            const known = observer.observed(key);
            if (known === undefined) {
                return undefined;
            }
            const holder = parseLeaseValue(known.object?.value)?.holder;
            return { holder, unchangedMs: clock.monotonicMs() - known.changedAtMs };
        },
        releaseAll: async () => {
            await Promise.all([...held.values()].map(lease => lease.release()));
        },
    };
}
