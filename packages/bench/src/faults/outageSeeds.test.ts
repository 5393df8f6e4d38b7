import { expect, test } from "vitest";
import { defaultFaultGuards } from "./defaultFaultGuards.js";
import { runWithFaults } from "./runWithFaults.js";

// Guards against: a manifest is not in force seconds after a long outage of the object API.
test("the faults of seed 17000106 break no promise", async () => {
    const run = await runWithFaults(17000106, defaultFaultGuards);
    expect(run.violations).toEqual([]);
});
