import { type CommandDef, defineCommand } from "citty";
import type { CliIo } from "./CliIo.js";
import type { CommandOutput } from "./CommandOutput.js";
import { commonArgs } from "./commonArgs.js";
import { exitCodes } from "./exitCodes.js";
import { formatTable } from "./formatTable.js";
import { readInput } from "./readInput.js";
import type { StepRow } from "./StepRow.js";
import { summarizeSteps } from "./summarizeSteps.js";

const headings = [
    "POLICY",
    "STEP",
    "LATE MS",
    "ITEMS",
    "FIRST MS",
    "HALF MS",
    "90% MS",
    "ALL MS",
    "ENDED MS",
    "RECORDS",
    "SENDS",
    "REFUSED",
    "MOVED",
    "RETRIED",
    "RUNNERS",
];

const toCells = (row: StepRow): (string | number)[] => [
    row.policy,
    row.step,
    row.lateMs ?? "-",
    row.items,
    row.firstSentMs ?? "-",
    row.halfMs ?? "-",
    row.mostMs ?? "-",
    row.allMs ?? "-",
    row.endedMs ?? "-",
    row.records,
    row.sends,
    row.refused,
    row.moved,
    row.retried,
    row.runners.join(" "),
];

/** `steps`: how each step of the trainers went, from log files. */
export function createStepsCommand(io: CliIo): CommandDef {
    return defineCommand({
        meta: { name: "steps", description: "Show from logs how each step went, and what held it up" },
        args: {
            logs: {
                type: "string",
                required: true,
                description: "Files with the log lines of all gateways and runners, separated by commas.",
                valueHint: "files",
            },
            json: commonArgs.json,
        },
        run: async ({ args }): Promise<CommandOutput> => {
            const paths = args.logs.split(",");
            const rows = summarizeSteps(await Promise.all(paths.map(path => readInput(io, path))));
            const nothing = [
                `No line of ${paths.join(", ")} tells of an accepted batch job.`,
                "Give the logs of all gateways (lotAccepted) and runners; docs/OPERATIONS.md names the lines.",
            ];
            return {
                exitCode: rows.length === 0 ? exitCodes.refused : exitCodes.done,
                json: rows,
                lines: rows.length === 0 ? nothing : formatTable(headings, rows.map(toCells)),
            };
        },
    }) as CommandDef;
}
