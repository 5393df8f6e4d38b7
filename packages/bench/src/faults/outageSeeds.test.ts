import { expect, test } from "vitest";
import { defaultFaultGuards } from "./defaultFaultGuards.js";
import { runWithFaults } from "./runWithFaults.js";

// Guards against a manifest that is still not in effect everywhere seconds after a long outage of the object API.
test("the faults of seed 17000106 violate no invariant", async () => {
    const run = await runWithFaults(17000106, defaultFaultGuards);
    expect(run.violations).toEqual([]);
});
