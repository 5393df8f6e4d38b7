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
import type { LeaseKeeper } from "./LeaseKeeper.js";
import type { LeaseValue } from "./LeaseValue.js";
import { parseLeaseValue } from "./parseLeaseValue.js";

/** An acquiring write, whose answer may be lost. */
interface Acquiring {
    writer: string;
    sentAtMs: number;
    /** Whether it was sent for a key that had no object. */
    isFirst: boolean;
    found: NonNullable<Lease["found"]>;
}

const defaultTtlMs = 10_000;
const absent = 0 as ObjectVersion;

function foundIn(object: StoredObject | undefined, isOwnEarlier: boolean): Acquiring["found"] {
    if (object === undefined) {
        return "nothing";
    }
    if (isOwnEarlier) {
        return "ownEarlier";
    }
    return parseLeaseValue(object.value)?.holder === undefined ? "released" : "lapsed";
}

/** Makes the keeper of a process's leases over the object API; see `docs/design/03-leases.md`. */
export function createLeaseKeeper(deps: LeaseDeps): LeaseKeeper {
    const { store, clock, random, logger, invariants } = deps;
    const { ttlMs = defaultTtlMs, guards = defaultLeaseGuards } = deps;
    const observer = createLeaseObserver(clock, guards, ttlMs);
    const tries = new Map<string, Promise<Lease | undefined>>();
    const unresolved = new Map<string, Acquiring>();
    const held = new Map<string, Lease>();

    function hold(
        key: string,
        { writer, sentAtMs, isFirst, found }: Acquiring,
        version: ObjectVersion,
    ): Lease {
        const known = observer.seen(key)?.object;
        const isOwn = parseLeaseValue(known?.value)?.stamp.writer === writer;
        const before = isOwn ? 0 : fencingOf(known);
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
            onEnd,
        });
        held.set(key, lease);
        return lease;
    }

    /** The lease that an unanswered write of ours turned out to have acquired. */
    function adopt(key: string, object: StoredObject | undefined): Lease | undefined {
        const mine = unresolved.get(key);
        const stamp = parseLeaseValue(object?.value)?.stamp;
        if (mine === undefined || object === undefined || stamp?.writer !== mine.writer) {
            return undefined;
        }
        return hold(key, mine, object.version);
    }

    async function write(
        key: string,
        expected: ObjectVersion,
        found: Acquiring["found"],
    ): Promise<Lease | undefined> {
        const isFirst = expected === absent;
        const mine: Acquiring = { writer: random.nextId(), sentAtMs: clock.monotonicMs(), isFirst, found };
        const stamp = { writer: mine.writer, sequence: 0 };
        const value: LeaseValue = { holder: deps.holder, fencing: undefined, ttlMs, stamp };
        unresolved.set(key, mine);
        const outcome = await store.write(key, value, expected);
        if (outcome.kind === "written") {
            return hold(key, mine, outcome.version);
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
        found: Acquiring["found"],
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

    async function tryOnce(key: string): Promise<Lease | undefined> {
        const present = held.get(key);
        if (present !== undefined) {
            // One that lapsed goes on trying to renew itself.
            return present.isHeld() ? present : undefined;
        }
        const object = await store.read(key);
        const adopted = adopt(key, object);
        if (adopted !== undefined) {
            return adopted;
        }
        const known = observer.note(key, object);
        const value = parseLeaseValue(known.object?.value);
        const isOwnEarlier = deps.resumesOwn === true && value?.holder === deps.holder;
        if (observer.freeInMs(known) > 0 && !isOwnEarlier) {
            return undefined;
        }
        return writeOrReadBack(key, known.object?.version ?? absent, foundIn(known.object, isOwnEarlier));
    }

    /** Two tries at once in one process would race each other for nothing. */
    function tryAcquire(key: string): Promise<Lease | undefined> {
        const present = tries.get(key);
        if (present !== undefined) {
            return present;
        }
        const started = tryOnce(key).finally(() => tries.delete(key));
        tries.set(key, started);
        return started;
    }

    return {
        tryAcquire,
        acquire: createLeaseWaiter({ store, clock, random, observer, ttlMs, tryAcquire }),
        observe: object => void observer.note(object.key, object),
        lastSeen: key => {
            const known = observer.seen(key);
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
