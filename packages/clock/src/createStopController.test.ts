import { expect, test } from "vitest";
import { createFakeClock } from "./createFakeClock.js";
import { createStopController } from "./createStopController.js";

test("a sleep may wait on a stop signal", async () => {
    // Guards against: a process ended by itself at its first retry.
    const clock = createFakeClock();
    const stop = createStopController();
    const slept = clock.sleep(100, stop.signal).then(() => clock.monotonicMs());
    await clock.advance(200);
    expect(await slept).toBe(100);
});
