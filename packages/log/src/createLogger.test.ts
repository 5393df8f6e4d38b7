import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { expect, test } from "vitest";
import { createLogger } from "./createLogger.js";

test("an event is logged as one line of key=value pairs", () => {
    const lines: string[] = [];
    const logger = createLogger(createFakeClock(), line => lines.push(line)).child({ entry: "entry-1" });
    logger.info("samplerPicked", { sampler: "s 1", candidates: 4, reason: "leastFinish", absent: undefined });
    expect(lines).toMatchInlineSnapshot(`
      [
        "time=2023-11-14T22:13:20.000Z level=info event=samplerPicked entry=entry-1 sampler="s 1" candidates=4 reason=leastFinish",
      ]
    `);
});
