import { expect, test } from "vitest";
import { removeGuard } from "./removeGuard.js";
import { runWithFaults } from "./runWithFaults.js";

// Guards against: a seed of knownSeeds passes because it no longer meets its fault.
test.each([
    { seed: 1000890, without: "quarantine.trials" },
    { seed: 1000634, without: "quarantine.trials,quarantine.explainedDeaths" },
])("a step of seed $seed never ends without $without", async ({ seed, without }) => {
    const run = await runWithFaults(seed, removeGuard(without)!);
    expect(run.violations.map(each => each.promise)).toEqual(["notFinished"]);
});

test.each(["quarantine.trials", "quarantine.explainedDeaths"])(
    "the steps of seed 1000634 end without %s alone",
    async without => {
        const run = await runWithFaults(1000634, removeGuard(without)!);
        expect(run.violations).toEqual([]);
    },
);
