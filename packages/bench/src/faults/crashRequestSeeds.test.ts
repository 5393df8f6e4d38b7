import { expect, test } from "vitest";
import { defaultFaultGuards } from "./defaultFaultGuards.js";
import type { FaultKind } from "./FaultKind.js";
import { runWithFaults } from "./runWithFaults.js";

const kinds: FaultKind[] = ["engineCrash", "poisonRequest", "sidecarKill", "engineOtherWeights"];

// Guards against a sample that names other weights than those that generated it.
test("the crashes of seed 14000058 with three crash-inducing requests violate no invariant", async () => {
    const run = await runWithFaults(14000058, defaultFaultGuards, { only: kinds, killers: 3 });
    expect(run.violations).toEqual([]);
});

test("the faults of seed 15000146 with two crash-inducing requests violate no invariant", async () => {
    const run = await runWithFaults(15000146, defaultFaultGuards, { killers: 2 });
    expect(run.violations).toEqual([]);
});
