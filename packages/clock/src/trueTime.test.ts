import { expect, test } from "vitest";
import { createFakeClock } from "./createFakeClock.js";
import { createMedianTime } from "./createMedianTime.js";
import { createReportedTime } from "./createReportedTime.js";

/** A clock whose time of day jumps by `state.stepMs`. */
function createSteppingClock() {
    const inner = createFakeClock(1_000_000);
    const state = { stepMs: 0 };
    return { clock: { ...inner, wallMs: () => inner.wallMs() + state.stepMs }, inner, state };
}

test.each([-4_000, 4_000])(
    "a local time of day that jumps by %i ms moves true time by no more than the other clocks differ",
    stepMs => {
        const { clock, inner, state } = createSteppingClock();
        const trueTime = createMedianTime(clock);
        [-3, 2, 5].forEach((offMs, index) =>
            trueTime.recordReading(`r${index}`, inner.wallMs() + offMs, inner.monotonicMs())
        );
        state.stepMs = stepMs;
        expect(Math.abs(trueTime.nowMs() - inner.wallMs())).toBeLessThanOrEqual(5);
    },
);

test("clocks that jump on fewer than half of the machines don't move true time, and a silent clock stops counting", async () => {
    const { clock, inner, state } = createSteppingClock();
    const trueTime = createMedianTime(clock);
    trueTime.recordReading("stepped", inner.wallMs() + 5_000, inner.monotonicMs());
    [1, 2, 3].forEach(index => trueTime.recordReading(`r${index}`, inner.wallMs(), inner.monotonicMs()));
    state.stepMs = -5_000;
    expect(trueTime.nowMs()).toBe(inner.wallMs());
    await inner.advance(6_000);
    expect(trueTime.nowMs()).toBe(inner.wallMs() - 5_000);
});

test("reported time is unaffected by jumps of the local time of day, and the least delayed reading is used", async () => {
    const { clock, inner, state } = createSteppingClock();
    const trueTime = createReportedTime(clock);
    expect(trueTime.nowMs()).toBe(inner.wallMs());
    trueTime.recordReading("r1", inner.wallMs(), inner.monotonicMs());
    trueTime.recordReading("r1", inner.wallMs() - 40, inner.monotonicMs());
    state.stepMs = 3_000;
    expect([trueTime.nowMs(), trueTime.atMs(0)]).toEqual([inner.wallMs(), 1_000_000]);
    await inner.advance(20_000);
    expect(trueTime.nowMs()).toBe(inner.wallMs() + 3_000);
});
