import { expect, test } from "vitest";
import { defaultFaultGuards } from "./defaultFaultGuards.js";
import { faultKinds } from "./faultKinds.js";
import { focusKinds } from "./focusKinds.js";
import { listGuardNames } from "./listGuardNames.js";
import { removeGuard } from "./removeGuard.js";
import { renderFaultSummary } from "./renderFaultSummary.js";
import { runFaultSeries } from "./runFaultSeries.js";
import { runWithFaults } from "./runWithFaults.js";
import { runScripts } from "./scripts/runScripts.js";

const runsToFind = 40;

const series = (seed: number, runs: number): ReturnType<typeof runFaultSeries> =>
    runFaultSeries({ seed, runs, guards: defaultFaultGuards, without: undefined, stopAtFirst: false });

test("randomised runs with all guards violate no invariant", async () => {
    const summary = await series(101, 12);
    expect(summary.violations).toEqual([]);
    expect(faultKinds.filter(kind => summary.strikes[kind] > 0).length).toBeGreaterThan(
        faultKinds.length / 2,
    );
    expect(summary.groupsTaken).toBeGreaterThan(0);
});

test("the same seed gives the same summary, byte for byte", async () => {
    const first = renderFaultSummary(await series(5, 2));
    const second = renderFaultSummary(await series(5, 2));
    const other = renderFaultSummary(await series(6, 2));
    expect(second).toBe(first);
    expect(other).not.toBe(first);
});

/**
 * Finds a run that violates an invariant without the guard and none with it; 0 is a scripted run, undefined is none.
 */
async function findSeedWithViolation(name: string): Promise<number | undefined> {
    const scripted = await runScripts(removeGuard(name)!);
    if (scripted.length > 0 && (await runScripts(defaultFaultGuards)).length === 0) {
        return 0;
    }
    for (let seed = 1; seed <= runsToFind; seed++) {
        const options = { stopAtFirst: true, only: focusKinds[name] };
        const without = await runWithFaults(seed, removeGuard(name)!, options);
        if (without.violations.length === 0) {
            continue;
        }
        const withIt = await runWithFaults(seed, defaultFaultGuards, options);
        if (withIt.violations.length === 0) {
            return seed;
        }
    }
    return undefined;
}

// Guards against a guard that can be removed without any run detecting it.
test.each(listGuardNames())("removing %s is detected", async name => {
    expect(await findSeedWithViolation(name)).toBeDefined();
});

test("removing an unknown guard returns undefined", () => {
    expect(removeGuard("owner.nothing")).toBeUndefined();
    expect(removeGuard("nothing")).toBeUndefined();
});
