import { expect, test } from "vitest";
import { createFakeClock } from "./createFakeClock.js";
import { createStopController } from "./createStopController.js";

test("a sleep may wait on a stop signal", async () => {
    // Symptom: a process ended by itself at its first retry. Sequence: a stop signal without a bound of listeners is
    // made; a sleep waits on it. Cause: Node throws when it reads the bound of a signal whose bound was set to 0.
    const clock = createFakeClock();
    const stop = createStopController();
    const slept = clock.sleep(100, stop.signal).then(() => clock.monotonicMs());
    await clock.advance(200);
    expect(await slept).toBe(100);
});
