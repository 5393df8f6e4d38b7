import fc from "fast-check";
import { expect, test } from "vitest";
import { yieldsTo } from "./yieldsTo.js";

test("of runners that took a job together one goes on", () => {
    // Guards against: a step of 112 items had 594 sends and ended after 11.7 s, and the next one stood behind it.
    const runs = [{ name: "burgos-1", runMs: 235 }, { name: "logrono-1", runMs: 2 }, {
        name: "lugo-1",
        runMs: 0,
    }];
    const continuing = runs.filter(own => !runs.some(peer => peer !== own && yieldsTo(own, peer)));
    expect(continuing.map(run => run.name)).toEqual(["burgos-1"]);
});

test("one that has made much is not stopped for one that began later", () => {
    expect(yieldsTo({ name: "lugo-1", runMs: 3_000 }, { name: "burgos-1", runMs: 900 })).toBe(false);
    expect(yieldsTo({ name: "burgos-1", runMs: 900 }, { name: "lugo-1", runMs: 3_000 })).toBe(true);
});

test("two never give way to each other, however late each hears of the other", () => {
    const ms = fc.integer({ min: 0, max: 5_000 });
    const late = fc.integer({ min: 0, max: 600 });
    fc.assert(fc.property(ms, ms, late, late, (firstMs, secondMs, firstLateMs, secondLateMs) => {
        const first = { name: "a", runMs: firstMs };
        const second = { name: "b", runMs: secondMs };
        const isFirstGone = yieldsTo(first, { ...second, runMs: secondMs - secondLateMs });
        const isSecondGone = yieldsTo(second, { ...first, runMs: firstMs - firstLateMs });
        return !(isFirstGone && isSecondGone);
    }));
});
