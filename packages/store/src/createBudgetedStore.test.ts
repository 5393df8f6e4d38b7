import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { codeOf } from "@auburnarch/errors/codeOf";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import { expect, test } from "vitest";
import { createBudgetedStore } from "./createBudgetedStore.js";

const absentVersion = 0 as ObjectVersion;
const codeName = (call: Promise<unknown>): Promise<string> =>
    call.then(() => "ok", error => codeOf(error).name);

function createFixture(latencyMs = 0) {
    const clock = createFakeClock();
    const random = createRandom(7);
    const fake = createFakeObjectStore({ clock, random, latencyMs });
    const budget = { clock, random, readsPerSecond: 10, writesPerSecond: 5 };
    return { clock, ...fake, budgeted: createBudgetedStore(fake.store, budget) };
}

const tally = (names: string[]): Record<string, number> =>
    names.reduce<Record<string, number>>((sum, name) => ({ ...sum, [name]: (sum[name] ?? 0) + 1 }), {});

test("a burst is spread over time, and calls that wait too long are refused without being sent", async () => {
    const { clock, budgeted, control } = createFixture();
    const calls = Array.from({ length: 40 }, (_, n) => codeName(budgeted.write(`k${n}`, n, absentVersion)));
    await clock.advance(10_000);
    // The burst allows five at once, then one starts every 200 ms until the rest is refused after 2,000 ms.
    expect(tally(await Promise.all(calls))).toEqual({ ok: 14, storeThrottled: 26 });
    expect(control.calls().write).toBe(14);
});

test("concurrent reads of one key cause two calls, and none returns a state from before an earlier write", async () => {
    // Guards against taking a write whose response was lost as not written.
    const { clock, budgeted, store, control } = createFixture(100);
    const early = budgeted.read("a");
    await clock.advance(80);
    const written = store.write("a", 1, absentVersion);
    const late = Array.from({ length: 50 }, () => budgeted.read("a"));
    await clock.advance(2_000);
    await written;
    expect(await early).toBeUndefined();
    expect((await Promise.all(late)).every(object => object?.value === 1)).toBe(true);
    expect(control.calls().read).toBe(2);
});

test("a long outage causes few probes, and calls resume slowly after it", async () => {
    // Guards against overloading the API again right after an outage.
    const { clock, budgeted, control } = createFixture();
    control.setOutage(true);
    const names: Promise<string>[] = [];
    for (let ms = 0; ms < 120_000; ms += 100) {
        names.push(codeName(budgeted.read(`k${ms}`)));
        await clock.advance(100);
    }
    const duringOutage = control.calls().read;
    control.setOutage(false);
    const perSecond: number[] = [];
    for (let second = 0; second < 12; second++) {
        const before = control.calls().read;
        for (let n = 0; n < 40; n++) {
            names.push(codeName(budgeted.read(`r${second}/${n}`)));
        }
        await clock.advance(1_000);
        perSecond.push(control.calls().read - before);
    }
    await clock.advance(10_000);
    await Promise.all(names);
    expect({ duringOutage, perSecond }).toMatchInlineSnapshot(`
      {
        "duringOutage": 37,
        "perSecond": [
          0,
          0,
          0,
          0,
          3,
          3,
          8,
          10,
          10,
          10,
          10,
          10,
        ],
      }
    `);
    expect(duringOutage).toBeLessThan(60);
    expect(Math.max(...perSecond)).toBeLessThanOrEqual(11);
    const firstSecondWithCalls = perSecond.findIndex(count => count > 0);
    expect(perSecond[firstSecondWithCalls]).toBeLessThanOrEqual(4);
    expect(perSecond[11]).toBe(10);
});

test("calls to a slow store are limited in number, and each ends within its timeout", async () => {
    const clock = createFakeClock();
    const random = createRandom(7);
    const { store, control } = createFakeObjectStore({ clock, random });
    const budget = {
        clock,
        random,
        readsPerSecond: 1_000,
        writesPerSecond: 1_000,
        maxInFlight: 8,
        maxWaiting: 10,
    };
    const budgeted = createBudgetedStore(store, budget);
    control.setSlow(60_000);
    const calls = Array.from({ length: 100 }, (_, n) => codeName(budgeted.write(`k${n}`, n, absentVersion)));
    await clock.advance(20_000);
    const names = tally(await Promise.all(calls));
    expect(names).toEqual({ storeUnavailable: 8, storeThrottled: 92 });
    expect(control.calls().write).toBe(8);
});
