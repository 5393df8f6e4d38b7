import { type CommandDef, defineCommand } from "citty";
import type { CliIo } from "./CliIo.js";
import type { CommandOutput } from "./CommandOutput.js";
import { commonArgs } from "./commonArgs.js";
import { exitCodes } from "./exitCodes.js";
import { formatTable } from "./formatTable.js";
import { readInput } from "./readInput.js";

interface LogsCommandOptions<Row> {
    name: string;
    description: string;
    /** Roles of the processes whose logs are needed. */
    writers: string;
    headings: string[];
    summarize: (logs: string[]) => Row[];
    toCells: (row: Row) => (string | number)[];
    /** What an empty result lacks, and the processes and log events that would show it. */
    missing: { subject: string; lines: string; };
}

/** Creates a command that summarizes log files in a table. */
export function createLogsCommand<Row>(io: CliIo, options: LogsCommandOptions<Row>): CommandDef {
    const { name, description, writers, headings, missing } = options;
    return defineCommand({
        meta: { name, description },
        args: {
            logs: {
                type: "string",
                required: true,
                description: `Files with the log lines of all ${writers}, separated by commas.`,
                valueHint: "files",
            },
            json: commonArgs.json,
        },
        run: async ({ args }): Promise<CommandOutput> => {
            const paths = args.logs.split(",");
            const rows = options.summarize(await Promise.all(paths.map(path => readInput(io, path))));
            const nothing = [
                `No line of ${paths.join(", ")} tells of ${missing.subject}.`,
                `Give the logs of ${missing.lines}; docs/OPERATIONS.md names the lines.`,
            ];
            return {
                exitCode: rows.length === 0 ? exitCodes.refused : exitCodes.done,
                json: rows,
                lines: rows.length === 0 ? nothing : formatTable(headings, rows.map(options.toCells)),
            };
        },
    }) as CommandDef;
}
