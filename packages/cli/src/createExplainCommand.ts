import type { OperatorExplain } from "@auburnarch/types/OperatorExplain";
import { type CommandDef, defineCommand } from "citty";
import type { CliIo } from "./CliIo.js";
import type { CommandOutput } from "./CommandOutput.js";
import { commonArgs } from "./commonArgs.js";
import { connect } from "./connect.js";
import { exitCodes } from "./exitCodes.js";
import { findLogLines } from "./findLogLines.js";
import { readInput } from "./readInput.js";

function describe(answer: OperatorExplain): string[] {
    return answer.decisions.map(({ atMs, event, fields }) => {
        const pairs = Object.entries(fields)
            .filter(([, value]) => value !== undefined)
            .map(([key, value]) => `${key}=${String(value)}`);
        return [new Date(atMs).toISOString(), event, ...pairs].join(" ");
    });
}

async function explainFromLogs(io: CliIo, id: string, paths: string[]): Promise<CommandOutput> {
    const logs = await Promise.all(paths.map(path => readInput(io, path)));
    const found = findLogLines(logs, id);
    const nothing = [
        `No line of ${paths.join(", ")} names ${id}.`,
        "Give the logs of all gateways and runners; docs/OPERATIONS.md says which lines name which ids.",
    ];
    return {
        exitCode: found.length === 0 ? exitCodes.refused : exitCodes.done,
        json: { id, lines: found },
        lines: found.length === 0 ? nothing : found.map(line => line.text),
    };
}

/** `explain ID`: shows the routing decisions for a sample or request. */
export function createExplainCommand(io: CliIo): CommandDef {
    return defineCommand({
        meta: { name: "explain", description: "Show why a sample or request went where it did" },
        args: {
            id: {
                type: "positional",
                required: true,
                description: "Sample id (job/step/group/index) or request id.",
            },
            logs: {
                type: "string",
                description:
                    "Files with the processes' log lines, separated by commas; no entry is asked then.",
                valueHint: "files",
            },
            ...commonArgs,
        },
        run: async ({ args }): Promise<CommandOutput> => {
            if (args.logs !== undefined) {
                return explainFromLogs(io, args.id, args.logs.split(","));
            }
            const client = await connect(io, args);
            const path = `/operator/explain?id=${encodeURIComponent(args.id)}`;
            const answer = await client.get(path) as OperatorExplain;
            const nothing = [
                `This entry keeps no decision on ${args.id}.`,
                "Ask the entry that took the request or owns the job (`auburnarch jobs`); decisions are kept for a while only.",
            ];
            return {
                exitCode: answer.decisions.length === 0 ? exitCodes.refused : exitCodes.done,
                json: answer,
                lines: answer.decisions.length === 0 ? nothing : describe(answer),
            };
        },
    }) as CommandDef;
}
