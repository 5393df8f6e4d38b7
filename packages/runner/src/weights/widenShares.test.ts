import fc from "fast-check";
import { expect, test } from "vitest";
import { widenShares } from "./widenShares.js";

test("a policy whose step has more items than its samplers have slots gets more, within the limit of loads", () => {
    const capacity = { samplers: 29, slotsPerSampler: 8 };
    expect({
        fits: widenShares([12, 12, 8], { ...capacity, jobItems: [90, 60, 40] }),
        widened: widenShares([12, 12, 8], { ...capacity, jobItems: [136, 96, 64] }),
        scarce: widenShares([12, 12, 8], { ...capacity, jobItems: [160, 160, 160] }),
        unknown: widenShares([12, 12, 8], { ...capacity, jobItems: [undefined, undefined, undefined] }),
        none: widenShares([0, 0], { samplers: 0, slotsPerSampler: 8, jobItems: [160, 160] }),
    }).toMatchInlineSnapshot(`
      {
        "fits": [
          12,
          12,
          8,
        ],
        "none": [
          0,
          0,
        ],
        "scarce": [
          15,
          15,
          12,
        ],
        "unknown": [
          12,
          12,
          8,
        ],
        "widened": [
          17,
          12,
          8,
        ],
      }
    `);
});

test("no share shrinks or exceeds the number of samplers, and all shares together stay within the limit of loads", () => {
    const shares = fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1, maxLength: 5 });
    fc.assert(
        fc.property(
            shares,
            fc.integer({ min: 20, max: 60 }),
            fc.infiniteStream(fc.nat(400)),
            (own, samplers, items) => {
                const jobItems = own.map(() => items.next().value as number);
                const widened = widenShares(own, { samplers, slotsPerSampler: 8, jobItems });
                const before = own.reduce((sum, share) => sum + share, 0);
                const after = widened.reduce((sum, share) => sum + share, 0);
                expect(widened.every((share, at) => share >= own[at]! && share <= samplers)).toBe(true);
                expect(after).toBeLessThanOrEqual(Math.max(before, Math.floor(1.5 * samplers)));
            },
        ),
        { seed: 31, numRuns: 500 },
    );
});
