import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import fc from "fast-check";
import { expect, test } from "vitest";
import { planSwaps } from "./planSwaps.js";
import type { SwapPlanInput } from "./SwapPlanInput.js";

const viewOf = (
    sampler: string,
    version: number | undefined,
    report: Partial<SamplerReport>,
): SamplerView => ({
    report: {
        sampler,
        state: "ready",
        served: version === undefined ? [] : [{ policy: "plume", version }],
        running: 0,
        waiting: 0,
        ...report,
    } as SamplerReport,
    reportAgeMs: 0,
    sentAttempts: 0,
    sentTokens: 0,
    sentSinceReport: 0,
    suspected: false,
});

const inputOf = (views: SamplerView[], changes: Partial<SwapPlanInput> = {}): SwapPlanInput => ({
    policy: "plume" as PolicyId,
    target: 4 as WeightVersion,
    minVersion: 2 as WeightVersion,
    views,
    ordered: new Set(),
    backingOff: new Set(),
    maxSwappingRatio: 0.34,
    maxDownloads: 64,
    ...changes,
});

test("the least loaded samplers swap first within the ratio, an idle one of unknown version in addition", () => {
    const views = [
        viewOf("busy", 3, { running: 9 }),
        viewOf("idle", 3, { running: 0 }),
        viewOf("medium", 3, { running: 4 }),
        viewOf("lost", 3, { state: "unknownVersion" }),
        viewOf("fresh", 4, {}),
        viewOf("empty", undefined, {}),
    ];
    expect(planSwaps(inputOf(views))).toMatchInlineSnapshot(`
      {
        "orders": [
          {
            "reason": "noCapacityLost",
            "sampler": "empty",
          },
          {
            "reason": "leastWork",
            "sampler": "idle",
          },
          {
            "reason": "noCapacityLost",
            "sampler": "lost",
          },
          {
            "reason": "leastWork",
            "sampler": "medium",
          },
        ],
        "waiting": [
          "busy",
        ],
      }
    `);
});

test("a running swap counts against the ratio even if this process did not order it", () => {
    const views = [viewOf("a", 3, {}), viewOf("b", 3, { state: "swapping" }), viewOf("c", 3, {})];
    expect(planSwaps(inputOf(views)).orders).toEqual([]);
});

test("swaps never exceed the ratio, and downloads never exceed the limit", () => {
    const sampler = fc.record({
        version: fc.integer({ min: 0, max: 4 }),
        running: fc.integer({ min: 0, max: 8 }),
        state: fc.constantFrom("ready", "swapping", "unknownVersion", "engineDown"),
    });
    fc.assert(fc.property(
        fc.array(sampler, { minLength: 1, maxLength: 30 }),
        fc.double({ min: 0.01, max: 1, noNaN: true }),
        fc.integer({ min: 0, max: 8 }),
        (drawn, maxSwappingRatio, maxDownloads) => {
            const views = drawn.map(({ version, running, state }, index) =>
                viewOf(`s${index}`, version, { running, state: state as SamplerReport["state"] })
            );
            const plan = planSwaps(inputOf(views, { maxSwappingRatio, maxDownloads }));
            const swapping = views.filter(view => view.report.state === "swapping").length;
            const costly = plan.orders.filter(order => order.reason === "leastWork").length;
            const share = Math.max(1, Math.floor(views.length * maxSwappingRatio));
            expect(plan.orders.length).toBeLessThanOrEqual(maxDownloads);
            expect(costly).toBeLessThanOrEqual(Math.max(0, share - swapping));
            const chosen = plan.orders.map(order => order.sampler);
            expect(new Set<SamplerId>([...chosen, ...plan.waiting]).size).toBe(
                chosen.length + plan.waiting.length,
            );
        },
    ));
});
