import { defineCommand } from "citty";
import { writeFileSync } from "node:fs";
import { defaultFaultGuards } from "./defaultFaultGuards.js";
import { listGuardNames } from "./listGuardNames.js";
import { removeGuard } from "./removeGuard.js";
import { renderFaultSummary } from "./renderFaultSummary.js";
import { runFaultSeries } from "./runFaultSeries.js";

const exitCodes = { clean: 0, violations: 1, usage: 2 };
const progressEvery = 50;

/** A whole number in bounds, or undefined. */
function parseCount(text: string, least: number): number | undefined {
    const value = Number(text);
    return Number.isSafeInteger(value) && value >= least ? value : undefined;
}

function fail(message: string): void {
    process.stderr.write(`${message}\n`);
    process.exitCode = exitCodes.usage;
}

/** `faults`: randomised runs with all kinds of faults. Exit codes: 0 clean, 1 violations, 2 usage. */
export const faultsCommand = defineCommand({
    meta: { name: "faults", description: "Randomised runs of the whole system with all kinds of faults" },
    args: {
        "seed": { type: "string", default: "1", description: "Seed; the same one gives the same bytes" },
        "runs": { type: "string", default: "1000", description: "Number of runs" },
        "run": {
            type: "string",
            description: "Plays one run instead: the seed that a violation's line names",
        },
        "json": { type: "string", description: "File for the summary as JSON" },
        "without": {
            type: "string",
            description: "Guard that lets everything through; ends at the first violation",
        },
        "list-guards": { type: "boolean", default: false, description: "Lists the guards and ends" },
    },
    run: async ({ args }) => {
        if (args["list-guards"]) {
            process.stdout.write(`${listGuardNames().join("\n")}\n`);
            return;
        }
        const onlyRun = args.run === undefined ? undefined : parseCount(args.run, 0);
        if (args.run !== undefined && onlyRun === undefined) {
            fail("--run takes a whole number from 0, as a line event=violation names it.");
            return;
        }
        const seed = parseCount(args.seed, 0);
        const runs = onlyRun === undefined ? parseCount(args.runs, 1) : 1;
        if (seed === undefined || runs === undefined) {
            fail("--seed takes a whole number from 0, --runs one from 1.");
            return;
        }
        const { without } = args;
        const guards = without === undefined ? defaultFaultGuards : removeGuard(without);
        if (guards === undefined) {
            fail(`There is no guard "${without}"; --list-guards names them all.`);
            return;
        }
        const summary = await runFaultSeries({
            seed,
            runs,
            onlyRun,
            guards,
            without,
            stopAtFirst: without !== undefined && onlyRun === undefined,
            onRun: (_, index) => {
                if ((index + 1) % progressEvery === 0) {
                    process.stderr.write(`${index + 1} of ${runs} runs\n`);
                }
            },
        });
        process.stdout.write(`${renderFaultSummary(summary)}\n`);
        if (args.json !== undefined) {
            writeFileSync(args.json, `${JSON.stringify(summary, undefined, 4)}\n`);
        }
        process.exitCode = summary.violationCount > 0 ? exitCodes.violations : exitCodes.clean;
    },
});
