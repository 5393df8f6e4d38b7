import { defineCommand } from "citty";
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { ablations } from "./ablations.js";
import { benchPolicies } from "./benchPolicies.js";
import type { BenchPolicy } from "./BenchPolicy.js";
import { formatTable } from "./formatTable.js";
import { listScenarios } from "./listScenarios.js";
import { loadScenario } from "./loadScenario.js";
import { parseSeeds } from "./parseSeeds.js";
import { plotPolicies } from "./plotPolicies.js";
import type { PolicyMedians } from "./PolicyMedians.js";
import { runPolicy } from "./runPolicy.js";
import type { RunResult } from "./RunResult.js";
import type { Scenario } from "./Scenario.js";
import { takeMedians } from "./takeMedians.js";

const jsonIndent = 2;

function choosePolicies(names: string | undefined, isAblation: boolean): BenchPolicy[] {
    const all = isAblation ? ablations : benchPolicies;
    const wanted = names?.split(",");
    const chosen = all.filter(policy => wanted === undefined || wanted.includes(policy.name));
    if (chosen.length === 0) {
        throw new Error(`No such policy. Known: ${all.map(policy => policy.name).join(", ")}.`);
    }
    return chosen;
}

async function runScenario(
    scenario: Scenario,
    policies: BenchPolicy[],
    seeds: number[],
): Promise<{ runs: RunResult[]; rows: PolicyMedians[]; }> {
    const runs: RunResult[] = [];
    const rows: PolicyMedians[] = [];
    for (const policy of policies) {
        const own: RunResult[] = [];
        for (const seed of seeds) {
            own.push(await runPolicy(scenario, policy, seed));
        }
        runs.push(...own);
        rows.push(takeMedians(own));
    }
    return { runs, rows };
}

/** `bench policy`: compares policies on scenarios with a fake clock. */
export const policyCommand = defineCommand({
    meta: { name: "policy", description: "Compare the rollout policies on scenarios" },
    args: {
        scenario: { type: "string", default: "all", description: "Name, file, comma-separated list, or all" },
        seed: { type: "string", default: "1", description: "One seed" },
        seeds: { type: "string", description: "Seeds such as 101-110; medians are printed" },
        policies: { type: "string", description: "Only these, comma-separated" },
        ablate: { type: "boolean", default: false, description: "Ours with each rule off in turn" },
        json: { type: "string", description: "File for every run and the medians" },
        svg: { type: "string", description: "Folder for one plot a scenario" },
    },
    run: async ({ args }) => {
        const names = args.scenario === "all" ? listScenarios() : args.scenario.split(",");
        const seeds = parseSeeds(args.seeds ?? args.seed);
        const policies = choosePolicies(args.policies, args.ablate);
        const report: { scenario: string; seeds: number[]; medians: PolicyMedians[]; runs: RunResult[]; }[] =
            [];
        for (const name of names) {
            const scenario = loadScenario(name);
            const { runs, rows } = await runScenario(scenario, policies, seeds);
            report.push({ scenario: scenario.name, seeds, medians: rows, runs });
            process.stdout.write(`${formatTable(scenario.name, rows)}\n\n`);
            if (args.svg !== undefined) {
                mkdirSync(args.svg, { recursive: true });
                writeFileSync(join(args.svg, `${scenario.name}.svg`), plotPolicies(scenario.name, rows));
            }
        }
        if (args.json !== undefined) {
            writeFileSync(args.json, `${JSON.stringify(report, undefined, jsonIndent)}\n`);
        }
    },
});
