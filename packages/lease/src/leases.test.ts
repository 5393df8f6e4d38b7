import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import { createPausableProcess } from "@auburnarch/fakes/createPausableProcess";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import type { Lease } from "@auburnarch/types/Lease";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import fc from "fast-check";
import { expect, test } from "vitest";
import { createLeaseManager } from "./createLeaseManager.js";
import { defaultLeaseGuards } from "./defaultLeaseGuards.js";
import { fencingOf } from "./fencingOf.js";
import type { LeaseGuards } from "./LeaseGuards.js";

const key = "leases/job/plume";
const ttlMs = 10_000;
const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const fail = (): never => {
    throw new Error("invariant violated");
};

function createFixture(latencyMs = 2) {
    const clock = createFakeClock();
    const fake = createFakeObjectStore({ clock, random: createRandom(3), latencyMs });
    let seed = 10;
    const managerOn = (
        store: ObjectStore,
        ownClock: Parameters<typeof createLeaseManager>[0]["clock"],
        guards?: LeaseGuards,
    ) => {
        seed++;
        const invariants = createInvariants(silent, fail);
        const holder = `entry-${seed}`;
        return createLeaseManager({
            store,
            clock: ownClock,
            random: createRandom(seed),
            logger: silent,
            invariants,
            holder,
            guards,
        });
    };
    return { clock, ...fake, managerOn, manager: () => managerOn(fake.store, clock) };
}

async function settle<T>(clock: ReturnType<typeof createFakeClock>, ended: Promise<T>): Promise<T> {
    let done = false;
    void ended.finally(() => (done = true)).catch(() => undefined);
    await clock.runUntil(() => done, 120_000);
    return ended;
}

const neverAborted = new AbortController().signal;

test("a holder paused beyond its term resumes without the lease, and its renewal is refused", async () => {
    // Guards against two owners that both order swaps.
    const { clock, store, manager, managerOn } = createFixture();
    const process = createPausableProcess(clock, store);
    const first = await settle(clock, managerOn(process.store, process.clock).acquire(key, neverAborted));
    process.pause();
    const second = await settle(clock, manager().acquire(key, neverAborted));
    expect(second!.fencing).toBeGreaterThan(first!.fencing);
    expect(first!.isHeld()).toBe(false);
    expect(first!.lost.aborted).toBe(false);
    process.resume();
    await clock.advance(ttlMs);
    expect(first!.isHeld()).toBe(false);
    expect(first!.lost.aborted).toBe(true);
    expect(second!.isHeld()).toBe(true);
});

test("an acquisition whose response was lost is found by reading back, with the same fencing number", async () => {
    // Guards against a job that has no owner for a whole term.
    const { clock, control, manager } = createFixture();
    control.loseAnswers(1);
    const lease = await settle(clock, manager().acquire(key, neverAborted));
    expect(clock.monotonicMs()).toBeLessThan(1_000);
    expect(lease!.isHeld()).toBe(true);
    expect(lease!.fencing).toBe(control.revision());
});

test("an acquisition that only the watch reveals after an outage is adopted", async () => {
    const { clock, control, manager } = createFixture();
    control.loseAnswers(1);
    const waiting = manager().acquire(key, neverAborted);
    await clock.runUntil(() => control.revision() > 0, 1_000);
    control.setOutage(true);
    await clock.advance(3_000);
    control.setOutage(false);
    const lease = await settle(clock, waiting);
    expect(lease!.fencing).toBe(1);
    await clock.advance(ttlMs);
    expect(lease!.isHeld()).toBe(true);
});

test("a renewal whose response was lost does not end the lease", async () => {
    const { clock, control, manager } = createFixture();
    const lease = await settle(clock, manager().acquire(key, neverAborted));
    for (let renewal = 0; renewal < 10; renewal++) {
        control.loseAnswers(1);
        await clock.advance(ttlMs / 3);
        expect(lease!.isHeld()).toBe(true);
    }
    expect(fencingOf(await settle(clock, createReader(control)))).toBe(lease!.fencing);
});

const createReader = async (control: { peek(key: string): unknown; }) => ({
    key,
    version: 999 as never,
    value: control.peek(key),
});

test("one of two processes that race for a free lease acquires it", async () => {
    const { clock, manager } = createFixture();
    const [first, second] = await settle(
        clock,
        Promise.all([manager().tryAcquire(key), manager().tryAcquire(key)]),
    );
    expect([first, second].filter(lease => lease?.isHeld()).length).toBe(1);
});

test("a lease that lapses in an outage is held again by the same holder once the store is back", async () => {
    // Guards against every job changing its owner after an outage.
    const { clock, control, manager } = createFixture();
    const lease = await settle(clock, manager().acquire(key, neverAborted));
    control.setOutage(true);
    await clock.advance(ttlMs + 1);
    expect(lease!.isHeld()).toBe(false);
    await clock.advance(600_000);
    expect(lease!.lost.aborted).toBe(false);
    control.setOutage(false);
    await clock.advance(ttlMs / 3);
    expect(lease!.isHeld()).toBe(true);
});

test("a waiter acquires a released lease at once", async () => {
    const { clock, manager } = createFixture();
    const lease = await settle(clock, manager().acquire(key, neverAborted));
    const waiting = manager().acquire(key, neverAborted);
    await clock.advance(4_000);
    const releasedAtMs = clock.monotonicMs();
    await settle(clock, lease!.release());
    const next = await settle(clock, waiting);
    expect(next!.fencing).toBeGreaterThan(lease!.fencing);
    expect(clock.monotonicMs() - releasedAtMs).toBeLessThan(50);
});

test("a holder that crashes is replaced within its term plus the clock drift margin and the jitter", async () => {
    const tookMs: number[] = [];
    for (let run = 0; run < 20; run++) {
        const { clock, store, manager, managerOn } = createFixture();
        const process = createPausableProcess(clock, store);
        await settle(clock, managerOn(process.store, process.clock).acquire(key, neverAborted));
        const waiting = manager().acquire(key, neverAborted);
        await clock.advance(5_000 + run * 250);
        process.pause();
        const crashedAtMs = clock.monotonicMs();
        await settle(clock, waiting);
        tookMs.push(clock.monotonicMs() - crashedAtMs);
    }
    expect(Math.max(...tookMs)).toBeLessThan(ttlMs * 1.05 + ttlMs / 20 + 20);
    expect(Math.min(...tookMs)).toBeGreaterThan(ttlMs * 0.6);
});

test("a waiter causes one watch per renewal and no read or write", async () => {
    const { clock, control, manager } = createFixture();
    await settle(clock, manager().acquire(key, neverAborted));
    void manager().acquire(key, neverAborted);
    await clock.advance(ttlMs);
    const before = control.calls();
    await clock.advance(100 * ttlMs);
    const after = control.calls();
    const callCounts = {
        write: after.write - before.write,
        watch: after.watch - before.watch,
        read: after.read - before.read,
    };
    expect(callCounts.write).toBeLessThanOrEqual(310);
    expect(callCounts.watch).toBeLessThanOrEqual(callCounts.write + 1);
    expect(callCounts.read).toBe(0);
});

test("stale reads do not give the lease to a second holder", async () => {
    const { clock, control, manager } = createFixture();
    const first = await settle(clock, manager().acquire(key, neverAborted));
    control.setStaleReads(2);
    const others = [manager(), manager()].map(other => other.acquire(key, neverAborted));
    await clock.advance(20 * ttlMs);
    expect(first!.isHeld()).toBe(true);
    expect(await Promise.race([...others, Promise.resolve("none")])).toBe("none");
});

test("a waiter acquires the lease after its object was removed", async () => {
    const { clock, store, manager } = createFixture();
    const first = await settle(clock, manager().acquire(key, neverAborted));
    const waiting = manager().acquire(key, neverAborted);
    await clock.advance(1_000);
    const object = await settle(clock, store.read(key));
    await settle(clock, store.remove(key, object!.version));
    const next = await settle(clock, waiting);
    expect(next!.fencing).toBeGreaterThan(first!.fencing);
});

type Action = {
    kind: "pause" | "resume" | "loseAnswers" | "outage" | "back" | "release" | "slow";
    who: number;
    afterMs: number;
};

const action: fc.Arbitrary<Action> = fc.record({
    kind: fc.constantFrom("pause", "resume", "loseAnswers", "outage", "back", "release", "slow"),
    who: fc.integer({ min: 0, max: 2 }),
    afterMs: fc.integer({ min: 1, max: 15_000 }),
});

/** Runs three processes through the actions; returns the maximum of concurrent holders and all fencing numbers. */
async function interleave(actions: Action[], guards: LeaseGuards) {
    const { clock, store, control, managerOn } = createFixture(20);
    const processes = [0, 1, 2].map(() => createPausableProcess(clock, store));
    const leases: Lease[] = [];
    const fencings: number[] = [];
    let maxHolders = 0;
    const abort = new AbortController();
    const managers = processes.map(process => managerOn(process.store, process.clock, guards));
    const compete = async (manager: (typeof managers)[number]): Promise<void> => {
        while (!abort.signal.aborted) {
            const lease = await manager.acquire(key, abort.signal);
            if (lease !== undefined && !leases.includes(lease)) {
                leases.push(lease);
                fencings.push(lease.fencing);
            }
            await clock.sleep(500, abort.signal);
        }
    };
    managers.forEach(manager => void compete(manager));
    const sampleHolders = (): void => {
        maxHolders = Math.max(maxHolders, leases.filter(lease => lease.isHeld()).length);
        clock.startTimer(100, sampleHolders);
    };
    sampleHolders();
    for (const { kind, who, afterMs } of actions) {
        await clock.advance(afterMs);
        const process = processes[who]!;
        const act = {
            pause: () => process.pause(),
            resume: () => process.resume(),
            loseAnswers: () => control.loseAnswers(1),
            outage: () => control.setOutage(true),
            back: () => control.setOutage(false),
            release: () => void leases.at(-1)?.release(),
            slow: () => control.setSlow(afterMs % 5_000),
        };
        act[kind]();
    }
    await clock.advance(30_000);
    abort.abort();
    return { maxHolders, fencings };
}

test("random interleavings never yield more than one holder, and fencing numbers only increase", async () => {
    let takeovers = 0;
    await fc.assert(
        fc.asyncProperty(fc.array(action, { minLength: 4, maxLength: 16 }), async actions => {
            const { maxHolders, fencings } = await interleave(actions, defaultLeaseGuards);
            takeovers += Math.max(0, fencings.length - 1);
            expect(maxHolders).toBeLessThanOrEqual(1);
            expect(fencings).toEqual([...new Set(fencings)].sort((a, b) => a - b));
        }),
        { numRuns: 60, seed: 5 },
    );
    expect(takeovers).toBeGreaterThan(20);
});

test("without either time check the same interleavings yield two holders", async () => {
    const weakenedGuards: LeaseGuards[] = [
        { ...defaultLeaseGuards, isWithinLease: () => true },
        { ...defaultLeaseGuards, takeOverAfterMs: () => 0 },
    ];
    const cases = fc.sample(fc.array(action, { minLength: 4, maxLength: 16 }), { numRuns: 20, seed: 5 });
    for (const guards of weakenedGuards) {
        let maxHolders = 0;
        for (const actions of cases) {
            maxHolders = Math.max(maxHolders, (await interleave(actions, guards)).maxHolders);
        }
        expect(maxHolders).toBeGreaterThan(1);
    }
});

test("a process acquires the lease of its VM's earlier process at once, but not that of another VM", async () => {
    const { clock, store } = createFixture();
    const managerOf = (holder: string) =>
        createLeaseManager({
            store,
            clock,
            random: createRandom(holder.length),
            logger: silent,
            invariants: createInvariants(silent, fail),
            holder,
            resumesOwnLeases: true,
        });
    const first = await settle(clock, managerOf("vm-1").tryAcquire(key));
    const other = await settle(clock, managerOf("vm-22").tryAcquire(key));
    const again = await settle(clock, managerOf("vm-1").tryAcquire(key));
    expect([first?.found, other, again?.found]).toEqual(["nothing", undefined, "ownEarlier"]);
    expect(again!.fencing).toBeGreaterThan(first!.fencing);
});
