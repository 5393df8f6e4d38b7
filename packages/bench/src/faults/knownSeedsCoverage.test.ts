import { expect, test } from "vitest";
import { removeGuard } from "./removeGuard.js";
import { runWithFaults } from "./runWithFaults.js";

// Guards against a seed of knownSeeds.test.ts that passes only because its run no longer provokes the failure.
test.each([
    { seed: 1000890, without: "quarantine.trials" },
    { seed: 1000634, without: "quarantine.trials,quarantine.explainedDeaths" },
])("a step of seed $seed never finishes without $without", async ({ seed, without }) => {
    const run = await runWithFaults(seed, removeGuard(without)!);
    expect(run.violations.map(each => each.promise)).toEqual(["notFinished"]);
});

test.each(["quarantine.trials", "quarantine.explainedDeaths"])(
    "the steps of seed 1000634 finish when only %s is disabled",
    async without => {
        const run = await runWithFaults(1000634, removeGuard(without)!);
        expect(run.violations).toEqual([]);
    },
);
