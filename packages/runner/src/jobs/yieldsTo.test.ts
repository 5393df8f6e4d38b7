import fc from "fast-check";
import { expect, test } from "vitest";
import { yieldsTo } from "./yieldsTo.js";

test("when several runners start a batch job together, exactly one continues", () => {
    // Guards against duplicate runs, with which a step of 112 items makes 594 attempts, ends after 11.7 s and delays
    // the next step.
    const runs = [{ name: "burgos-1", runMs: 235 }, { name: "logrono-1", runMs: 2 }, {
        name: "lugo-1",
        runMs: 0,
    }];
    const continuing = runs.filter(own => !runs.some(peer => peer !== own && yieldsTo(own, peer)));
    expect(continuing.map(run => run.name)).toEqual(["burgos-1"]);
});

test("a run that has made progress does not yield to one that started later", () => {
    expect(yieldsTo({ name: "lugo-1", runMs: 3_000 }, { name: "burgos-1", runMs: 900 })).toBe(false);
    expect(yieldsTo({ name: "burgos-1", runMs: 900 }, { name: "lugo-1", runMs: 3_000 })).toBe(true);
});

test("two runs never yield to each other, however late their reports arrive", () => {
    const ms = fc.integer({ min: 0, max: 5_000 });
    const late = fc.integer({ min: 0, max: 600 });
    fc.assert(fc.property(ms, ms, late, late, (firstMs, secondMs, firstLateMs, secondLateMs) => {
        const first = { name: "a", runMs: firstMs };
        const second = { name: "b", runMs: secondMs };
        const doesFirstYield = yieldsTo(first, { ...second, runMs: secondMs - secondLateMs });
        const doesSecondYield = yieldsTo(second, { ...first, runMs: firstMs - firstLateMs });
        return !(doesFirstYield && doesSecondYield);
    }));
});
