import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import { expect, test } from "vitest";
import { runSoak } from "./runSoak.js";

const runOptions = { lengthMs: 12_000, faults: 10, gateways: 2, runners: 3 };

test.each([103, 120])("the faults of seed %i break no promise", async seed => {
    // Guards against texts with an event after their last one.
    const { breaches } = await runSoak(createSystemClock(), { seed, ...runOptions });
    expect(breaches).toEqual([]);
});
