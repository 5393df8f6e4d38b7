import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { Logger } from "@auburnarch/types/Logger";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { VmId } from "@auburnarch/types/VmId";
import fc from "fast-check";
import { expect, test } from "vitest";
import { createQuarantine } from "./createQuarantine.js";
import { mergeRecords } from "./mergeRecords.js";

const crashInducing = "poison" as ContentDigest;
const bystander = "neighbour" as ContentDigest;
const vmOf = (name: string): VmId => name as VmId;
const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };

function createFixture() {
    const clock = createFakeClock();
    const { store, control } = createFakeObjectStore({ clock, random: createRandom(1) });
    let seed = 1;
    const entry = (change: { expiresAfterMs?: number; } = {}) =>
        createQuarantine({ store, clock, random: createRandom(seed++), logger: silent, ...change });
    return { clock, store, control, entry };
}

const reportOf = (vm: string, bootId: string, ...digests: ContentDigest[]) => ({
    suspects: digests.map(digest => ({ digest, deaths: [{ vm: vmOf(vm), bootId }] })),
});

test("content is refused everywhere after crashes on two VMs, and its bystanders are not", async () => {
    // Guards against one request that crashes one sampler after another.
    const { entry } = createFixture();
    const first = entry();
    const second = entry();
    first.recordSuspects(reportOf("vm-1", "b1", crashInducing, bystander));
    first.recordSuspects(reportOf("vm-1", "b2", crashInducing));
    expect(first.isRefused(crashInducing)).toBe(false);
    await first.publish();
    second.recordCrash(vmOf("vm-2"), "b9", [crashInducing]);
    const document = await second.publish();
    expect(second.isRefused(crashInducing)).toBe(true);
    expect(first.offer(document!)).toBe(true);
    expect(first.isRefused(crashInducing)).toBe(true);
    expect([first, second].some(one => one.isRefused(bystander))).toBe(false);
});

test("a crash that is reported repeatedly by many entries causes one record and few writes", async () => {
    const { clock, control, entry } = createFixture();
    const entries = [entry(), entry(), entry()];
    const abort = new AbortController();
    const spread = (document: Parameters<(typeof entries)[0]["offer"]>[0]) =>
        entries.forEach(one => one.offer(document));
    entries.forEach(one => void one.run(abort.signal, spread));
    for (let second = 0; second < 120; second++) {
        entries.forEach(one => one.recordSuspects(reportOf("vm-1", "b1", crashInducing)));
        await clock.advance(1_000);
    }
    abort.abort();
    expect(entries[0]!.list()[0]!.deaths.length).toBe(1);
    expect(control.calls().write).toBeLessThanOrEqual(3);
});

test("suspects run apart, and a clean finish clears one on every entry", async () => {
    // Guards against a harmless request that is refused.
    const { entry } = createFixture();
    const first = entry();
    const second = entry();
    first.recordSuspects(reportOf("vm-1", "b1", crashInducing, bystander));
    expect(first.mustRunApart(bystander, [crashInducing])).toBe(true);
    expect(first.mustRunApart(bystander, ["other" as ContentDigest, bystander])).toBe(false);
    second.offer((await first.publish())!);
    expect(second.mustRunApart(crashInducing, [bystander])).toBe(true);
    second.recordCleanFinish(bystander);
    first.offer((await second.publish())!);
    expect(first.mustRunApart(bystander, [crashInducing])).toBe(false);
    first.recordSuspects(reportOf("vm-1", "b1", bystander));
    expect(first.isSuspect(bystander)).toBe(false);
});

test("a refused content that finishes cleanly is no longer refused on any entry", async () => {
    // Guards against a harmless content answered with code 2007 for 24 h although it has just completed.
    const { clock, entry } = createFixture();
    const first = entry();
    const second = entry();
    first.recordCrash(vmOf("vm-1"), "b1", [bystander, crashInducing]);
    first.recordCrash(vmOf("vm-2"), "b2", [bystander]);
    expect(first.isRefused(bystander)).toBe(true);
    second.offer((await first.publish())!);
    await clock.advance(70);
    second.recordCleanFinish(bystander);
    expect(second.isRefused(bystander)).toBe(false);
    first.offer((await second.publish())!);
    expect(first.isRefused(bystander)).toBe(false);
    // The sampler keeps reporting the crashes it has seen.
    first.recordSuspects(reportOf("vm-2", "b2", bystander));
    expect(first.isRefused(bystander)).toBe(false);
});

test("an operator's lift is durable, later crashes count again, and records expire", async () => {
    const { clock, control, entry } = createFixture();
    const quarantine = entry({ expiresAfterMs: 60_000 });
    quarantine.recordCrash(vmOf("vm-1"), "b1", [crashInducing]);
    quarantine.recordCrash(vmOf("vm-2"), "b1", [crashInducing]);
    await clock.advance(10);
    control.setOutage(true);
    await expect(quarantine.lift(crashInducing)).rejects.toThrow("storeUnavailable");
    control.setOutage(false);
    await quarantine.lift(crashInducing);
    expect(quarantine.isRefused(crashInducing)).toBe(false);
    const fresh = entry();
    fresh.offer({ version: control.revision(), value: control.peek("quarantine") });
    expect(fresh.isRefused(crashInducing)).toBe(false);
    await clock.advance(10);
    quarantine.recordCrash(vmOf("vm-1"), "b2", [crashInducing]);
    quarantine.recordCrash(vmOf("vm-3"), "b1", [crashInducing]);
    expect(quarantine.isRefused(crashInducing)).toBe(true);
    await clock.advance(60_001);
    expect(quarantine.isRefused(crashInducing)).toBe(false);
    expect(quarantine.list()).toEqual([]);
});

test("entries that write concurrently lose none of each other's records", async () => {
    const { entry } = createFixture();
    const entries = [entry(), entry(), entry()];
    entries.forEach((one, n) => one.recordCrash(vmOf(`vm-${n}`), "b", [`d${n}` as ContentDigest]));
    await Promise.all(entries.map(one => one.publish()));
    const last = entry();
    last.recordCrash(vmOf("vm-9"), "b", [crashInducing]);
    const document = await last.publish();
    expect(last.list().map(record => record.digest).sort()).toEqual(["d0", "d1", "d2", "poison"]);
    expect(entries.every(one => one.offer(document!))).toBe(true);
    expect(entries.every(one => one.list().length === 4)).toBe(true);
});

test("the list is bounded, and quarantined content is not evicted", () => {
    const { clock, store } = createFixture();
    const quarantine = createQuarantine({
        store,
        clock,
        random: createRandom(1),
        logger: silent,
        maxRecords: 10,
    });
    quarantine.recordCrash(vmOf("vm-1"), "b1", [crashInducing]);
    quarantine.recordCrash(vmOf("vm-2"), "b1", [crashInducing]);
    for (let n = 0; n < 100; n++) {
        quarantine.recordCrash(vmOf("vm-1"), `b${n}`, [`d${n}` as ContentDigest]);
    }
    expect(quarantine.list().length).toBe(10);
    expect(quarantine.isRefused(crashInducing)).toBe(true);
});

test("merging is independent of order and repetition", () => {
    const record: fc.Arbitrary<QuarantineRecord> = fc.record({
        digest: fc.constantFrom("a", "b").map(name => name as ContentDigest),
        deaths: fc.array(
            fc.record({
                vm: fc.constantFrom("v1", "v2").map(vmOf),
                bootId: fc.constantFrom("x", "y"),
                atMs: fc.nat(5),
            }),
            { maxLength: 3 },
        ),
        expiresAtMs: fc.nat(9),
        liftedAtMs: fc.option(fc.nat(9), { nil: undefined }),
    });
    const lists = fc.array(record, { maxLength: 4 });
    fc.assert(
        fc.property(lists, lists, lists, (a, b, c) => {
            const merged = mergeRecords(a, b, c);
            expect(mergeRecords(mergeRecords(c, a), b)).toEqual(merged);
            expect(mergeRecords(merged, a)).toEqual(merged);
        }),
        { numRuns: 500, seed: 2 },
    );
});
