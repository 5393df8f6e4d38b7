import { expect, test } from "vitest";
import { createAdaptiveLimit } from "./createAdaptiveLimit.js";

test("the limit falls while the backend server is slow, rises again afterwards, and never falls below its minimum", () => {
    // Guards against overload in which every request times out and none finishes.
    let nowMs = 0;
    const limit = createAdaptiveLimit({
        nowMs: () => nowMs,
        startLimit: 16,
        maxLimit: 16,
        minLimit: 1,
        baselineMs: 10,
        learnsBaseline: false,
        maxSlowdownRatio: 4,
    });
    const run = (unitMs: number, running: () => number, count: number): number[] => {
        const seen: number[] = [];
        for (let at = 0; at < count; at++) {
            nowMs += 100;
            limit.observe(unitMs, running());
            seen.push(limit.current());
        }
        return seen;
    };
    const full = (): number => limit.current();
    expect(run(30, full, 50).at(-1)).toBe(16);
    const slow = run(400, full, 2_000);
    expect(Math.max(...slow.slice(100))).toBeLessThan(16);
    expect(slow.at(-1)).toBe(1);
    expect(run(10, full, 500).at(-1)).toBe(16);
    // With less than half of the limit in use, speed does not show whether the limit is too high.
    expect(run(400, () => 1, 200).at(-1)).toBe(16);
});

test("a plain service that is always slow keeps its limit; that of one that becomes slow falls", () => {
    let nowMs = 0;
    const limit = createAdaptiveLimit({
        nowMs: () => nowMs,
        startLimit: 64,
        maxLimit: 1_024,
        minLimit: 4,
        baselineMs: 5,
        learnsBaseline: true,
        maxSlowdownRatio: 4,
    });
    const run = (unitMs: number, count: number): number => {
        for (let at = 0; at < count; at++) {
            nowMs += 100;
            limit.observe(unitMs, limit.current());
        }
        return limit.current();
    };
    expect(run(300, 200)).toBeGreaterThanOrEqual(64);
    expect(run(3_000, 300)).toBeLessThan(16);
});
