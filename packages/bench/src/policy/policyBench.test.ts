import { createPromptLengthModel } from "@auburnarch/dispatch/createPromptLengthModel";
import fc from "fast-check";
import { expect, test } from "vitest";
import { benchPolicies } from "./benchPolicies.js";
import { compareDistributions } from "./compareDistributions.js";
import { computeBound } from "./computeBound.js";
import { drawWorkload } from "./drawWorkload.js";
import { formatTable } from "./formatTable.js";
import { listScenarios } from "./listScenarios.js";
import { loadScenario } from "./loadScenario.js";
import { parseSeeds } from "./parseSeeds.js";
import { plotPolicies } from "./plotPolicies.js";
import { quantile } from "./quantile.js";
import { runPolicy } from "./runPolicy.js";
import type { Scenario } from "./Scenario.js";
import { scenarioSchema } from "./scenarioSchema.js";
import { takeMedians } from "./takeMedians.js";

const policyNamed = (name: string): typeof benchPolicies[number] =>
    benchPolicies.find(policy => policy.name === name)!;

function toScenario(changes: Record<string, unknown>, job: Record<string, unknown>): Scenario {
    return scenarioSchema.parse({
        name: "small",
        description: "for a test",
        samplers: [{ count: 3, maxBatch: 4, batchSlowdown: 0 }],
        shares: { team: 1 },
        jobs: [{
            job: "train",
            team: "team",
            samplesPerStep: 64,
            steps: 5,
            trainerMs: 12_000,
            stepNeedMs: 12_000,
            distinctPrompts: 8,
            length: { medianTokens: 100 },
            ...job,
        }],
        ...changes,
    });
}

test("the shipped scenarios are complete and valid", () => {
    expect(listScenarios()).toMatchInlineSnapshot(`
      [
        "cymdeithas",
        "hot-prefix",
        "humoboira",
        "lagging-reports",
        "overload",
        "sampler-loss",
        "shared-engines",
        "stragglers",
        "uneven-speeds",
        "weight-churn",
      ]
    `);
    listScenarios().forEach(name => expect(loadScenario(name).name).toBe(name));
});

test("an invalid scenario is rejected with all its faults", () => {
    expect(() => toScenario({ reports: { intervalMs: -1, lag: 3 } }, {})).toThrow(/intervalMs[\s\S]*lag/);
});

// Guards against a trainer that stands still, and results that are late, because a few long rollouts hold up the step.
// The first two steps, in which the length model learns the prompts, are not compared.
test("the trainer waits less than half as long for stragglers as with a baseline policy", async () => {
    const scenario = toScenario({}, {
        length: {
            medianTokens: 80,
            promptSigma: 0,
            sampleSigma: 0,
            stragglerRatio: 0.125,
            hardPromptRatio: 0.125,
            hardPromptShare: 1,
        },
    });
    const stalled = await runPolicy(scenario, policyNamed("twoChoices"), 3);
    const own = await runPolicy(scenario, policyNamed("ours"), 3);
    const learned = (result: typeof own): number => quantile(result.waitedMs[0]!.slice(2), 1);
    expect(learned(stalled)).toBeGreaterThan(1_000);
    expect(learned(own)).toBeLessThan(learned(stalled) / 2);
});

test("all samples are delivered within the staleness bound despite crashes, VM loss, freezes and failed swaps", async () => {
    const faults = [
        { kind: "engineCrash", atMs: 14_000, sampler: 0, downMs: 4_000 },
        { kind: "freeze", atMs: 25_000, sampler: 1, forMs: 8_000 },
        { kind: "swapFailure", atMs: 20_000, sampler: 2 },
        { kind: "vmLost", atMs: 45_000, sampler: 0 },
    ];
    const scenario = toScenario({ faults }, {
        maxStalenessVersions: 1,
        length: { medianTokens: 100, stragglerRatio: 0.05 },
    });
    for (const policy of benchPolicies) {
        const result = await runPolicy(scenario, policy, 5);
        expect(result).toMatchObject({
            isFinished: true,
            overBound: 0,
            violations: 0,
            lengthStatistic: 0,
            isLengthBiased: false,
        });
    }
});

test("runs with the same seed give the same measures", async () => {
    const scenario = toScenario({ reports: { lossRatio: 0.2 } }, {});
    const [first, second] = [
        await runPolicy(scenario, policyNamed("ours"), 9),
        await runPolicy(scenario, policyNamed("ours"), 9),
    ];
    expect({ ...first, runMs: 0 }).toEqual({ ...second, runMs: 0 });
});

test("no policy beats the bound of a single job", async () => {
    const scenario = toScenario({}, { length: { medianTokens: 150, stragglerRatio: 0.05 } });
    for (const policy of benchPolicies) {
        const result = await runPolicy(scenario, policy, 2);
        expect(result.idleRatio).toBeGreaterThanOrEqual(result.boundIdleRatio);
        expect(result.stepMsP50).toBeGreaterThanOrEqual(result.boundStepMsP50);
    }
});

test("the bound of a step is its work divided by capacity, or its longest sample alone", () => {
    const even = toScenario({}, {
        stepsAhead: 0,
        length: { medianTokens: 100, promptSigma: 0, sampleSigma: 0 },
    });
    const bound = computeBound(even, drawWorkload(even, 1)).jobs[0]!;
    expect(bound.stepMs.map(Math.round)).toEqual(
        Array.from({ length: 5 }, () => 64 * 100 / 1_200 * 1_000).map(Math.round),
    );
    const long = toScenario({}, {
        stepsAhead: 0,
        length: {
            medianTokens: 100,
            promptSigma: 0,
            sampleSigma: 0,
            stragglerRatio: 1,
            stragglerFactor: 1,
            maxTokens: 100,
        },
        samplesPerStep: 8,
    });
    expect(computeBound(long, drawWorkload(long, 1)).jobs[0]!.stepMs.map(Math.round)).toEqual([
        1_000,
        1_000,
        1_000,
        1_000,
        1_000,
    ]);
});

test("the length statistic distinguishes a biased selection from a fair one", () => {
    const generated = Array.from({ length: 1_000 }, (_, index) => index);
    expect(compareDistributions(generated, generated)).toEqual({ statistic: 0, isDifferent: false });
    const fair = generated.filter(value => value % 2 === 0);
    const biased = generated.filter(value => value < 900);
    expect(compareDistributions(generated, fair).isDifferent).toBe(false);
    expect(compareDistributions(generated, biased)).toMatchObject({ isDifferent: true });
    fc.assert(
        fc.property(
            fc.array(fc.nat(50), { minLength: 1 }),
            fc.array(fc.nat(50), { minLength: 1 }),
            (a, b) => {
                const { statistic } = compareDistributions(a, b);
                expect(statistic).toBeCloseTo(compareDistributions(b, a).statistic);
                expect(statistic >= 0 && statistic <= 1).toBe(true);
            },
        ),
    );
});

test("seeds are parsed as numbers and ranges", () => {
    expect(parseSeeds("7,101-103")).toEqual([7, 101, 102, 103]);
    expect(() => parseSeeds("1,x")).toThrow('"x" is no seed');
});

test("the table and the plot of a small run contain all policies and the bound", async () => {
    const scenario = toScenario({}, { steps: 3 });
    const rows = [];
    for (const name of ["twoChoices", "ours"]) {
        rows.push(takeMedians([await runPolicy(scenario, policyNamed(name), 1)]));
    }
    const lines = formatTable("small", rows).split("\n");
    expect(lines.map(line => line.split(/\s{2,}/)[0])).toEqual([
        "scenario small, medians of 1 seeds",
        "policy",
        "twoChoices",
        "ours",
        "bound",
    ]);
    const svg = plotPolicies("small & <fast>", rows);
    expect(svg).toContain("small &amp; &lt;fast>: medians of 1 seeds");
    expect(svg.match(/<rect/g)).toHaveLength(1 + 3 * rows.length);
});

test("the error of the length model decreases as prompts recur", () => {
    const scenario = loadScenario("stragglers");
    const workload = drawWorkload(scenario, 1);
    const model = createPromptLengthModel();
    const errors = workload.jobs[0]!.steps.map(step => {
        const predicted = step.groups.map(group =>
            model.expectRemaining(group.prompt, 0, 1e9) * group.seeds.length
        );
        const actual = step.groups.map(group =>
            group.seeds.reduce((sum, seed) => sum + workload.tokensOf.get(seed)!, 0)
        );
        step.groups.forEach(group =>
            group.seeds.forEach(seed => model.observe(group.prompt, workload.tokensOf.get(seed)!))
        );
        return predicted.reduce((sum, value, at) => sum + Math.abs(value - actual[at]!), 0);
    });
    const late = errors.slice(4).reduce((sum, error) => sum + error, 0) / (errors.length - 4);
    expect(late).toBeLessThan(errors[1]!);
});
