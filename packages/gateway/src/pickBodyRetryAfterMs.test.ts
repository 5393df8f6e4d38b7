import { createRandom } from "@auburnarch/clock/createRandom";
import { expect, test } from "vitest";
import { pickBodyRetryAfterMs } from "./pickBodyRetryAfterMs.js";

test("refused callers return at different times, within a third of the time they have left", () => {
    const random = createRandom(1);
    const delays = Array.from({ length: 100 }, () => pickBodyRetryAfterMs(random, 900));
    expect(Math.max(...delays)).toBeLessThanOrEqual(300);
    expect(new Set(delays).size).toBeGreaterThan(50);
    expect(pickBodyRetryAfterMs(random, 0)).toBe(0);
});
