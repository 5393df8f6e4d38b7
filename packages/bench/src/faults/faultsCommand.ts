import { defineCommand } from "citty";
import { writeFileSync } from "node:fs";
import { listGuardNames } from "./listGuardNames.js";
import { parseFaultOptions } from "./parseFaultOptions.js";
import { renderFaultSummary } from "./renderFaultSummary.js";
import { runFaultSeries } from "./runFaultSeries.js";

const exitCodes = { clean: 0, violations: 1, usage: 2 };
const progressEvery = 50;

function fail(message: string): void {
    process.stderr.write(`${message}\n`);
    process.exitCode = exitCodes.usage;
}

/** `faults`: randomised runs with all kinds of faults. Exit codes: 0 no violations, 1 violations, 2 usage error. */
export const faultsCommand = defineCommand({
    meta: { name: "faults", description: "Randomised runs of the whole system with all kinds of faults" },
    args: {
        "seed": { type: "string", default: "1", description: "Seed; the same one gives the same bytes" },
        "runs": { type: "string", default: "1000", description: "Number of runs" },
        "run": {
            type: "string",
            description: "Plays one run instead: the seed that a violation's line names",
        },
        "kinds": {
            type: "string",
            description: "Kinds of fault to draw from, apart by commas; all by default",
        },
        "killers": { type: "string", default: "1", description: "Different contents that kill engines" },
        "json": { type: "string", description: "File for the summary as JSON" },
        "without": {
            type: "string",
            description: "Guards or mechanisms to take away, apart by commas; ends at the first violation",
        },
        "list-guards": { type: "boolean", default: false, description: "Lists the guards and ends" },
    },
    run: async ({ args }) => {
        if (args["list-guards"]) {
            process.stdout.write(`${listGuardNames().join("\n")}\n`);
            return;
        }
        const options = parseFaultOptions(args);
        if (typeof options === "string") {
            fail(options);
            return;
        }
        const summary = await runFaultSeries({
            ...options,
            onRun: (_, index) => {
                if ((index + 1) % progressEvery === 0) {
                    process.stderr.write(`${index + 1} of ${options.runs} runs\n`);
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
