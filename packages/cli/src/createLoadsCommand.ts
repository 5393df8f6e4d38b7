import { type CommandDef, defineCommand } from "citty";
import type { CliIo } from "./CliIo.js";
import type { CommandOutput } from "./CommandOutput.js";
import { commonArgs } from "./commonArgs.js";
import { exitCodes } from "./exitCodes.js";
import { formatTable } from "./formatTable.js";
import type { LoadRow } from "./LoadRow.js";
import { readInput } from "./readInput.js";
import { summarizeLoads } from "./summarizeLoads.js";

const headings = ["POLICY", "LOADS", "FAILED", "SAMPLERS", "CHANGED", "MEAN MS", "TOTAL MS"];

const toCells = (row: LoadRow): (string | number)[] => [
    row.policy,
    row.loads,
    row.failed,
    row.samplers,
    row.changed,
    row.meanMs ?? "-",
    row.totalMs,
];

/** `loads`: what loads of weights cost, from log files. */
export function createLoadsCommand(io: CliIo): CommandDef {
    return defineCommand({
        meta: { name: "loads", description: "Show from logs what the loads of weights cost, by policy" },
        args: {
            logs: {
                type: "string",
                required: true,
                description: "Files with the log lines of all runners, separated by commas.",
                valueHint: "files",
            },
            json: commonArgs.json,
        },
        run: async ({ args }): Promise<CommandOutput> => {
            const paths = args.logs.split(",");
            const rows = summarizeLoads(await Promise.all(paths.map(path => readInput(io, path))));
            const nothing = [
                `No line of ${paths.join(", ")} tells of a load that ended.`,
                "Give the logs of all runners (loadDone, loadFailed); docs/OPERATIONS.md names the lines.",
            ];
            return {
                exitCode: rows.length === 0 ? exitCodes.refused : exitCodes.done,
                json: rows,
                lines: rows.length === 0 ? nothing : formatTable(headings, rows.map(toCells)),
            };
        },
    }) as CommandDef;
}
