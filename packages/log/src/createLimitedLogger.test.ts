import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { expect, test } from "vitest";
import { createLimitedLogger } from "./createLimitedLogger.js";
import { createLogger } from "./createLogger.js";

test("lines beyond the limit of a second are counted instead of written", async () => {
    const clock = createFakeClock();
    const lines: string[] = [];
    const logger = createLimitedLogger(clock, createLogger(clock, line => lines.push(line)), 2);
    for (let at = 0; at < 5; at++) {
        logger.info("breakRecorded", { at });
    }
    await clock.advance(1_000);
    logger.info("breakRecorded", { at: 5 });
    expect(lines.map(line => line.replace(/^.*event=/, ""))).toEqual([
        "breakRecorded at=0",
        "breakRecorded at=1",
        "linesLeftOut lines=3",
        "breakRecorded at=5",
    ]);
});
