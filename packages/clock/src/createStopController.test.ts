import { expect, test } from "vitest";
import { createFakeClock } from "./createFakeClock.js";
import { createStopController } from "./createStopController.js";

test("a sleep accepts a stop signal and ends after its delay", async () => {
    // Guards against a process that ends at its first retry because the sleep rejects its stop signal.
    const clock = createFakeClock();
    const stop = createStopController();
    const slept = clock.sleep(100, stop.signal).then(() => clock.monotonicMs());
    await clock.advance(200);
    expect(await slept).toBe(100);
});
