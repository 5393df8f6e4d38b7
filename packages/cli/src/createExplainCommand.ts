import type { OperatorExplain } from "@auburnarch/types/OperatorExplain";
import { type CommandDef, defineCommand } from "citty";
import type { CliIo } from "./CliIo.js";
import type { CommandOutput } from "./CommandOutput.js";
import { commonArgs } from "./commonArgs.js";
import { connect } from "./connect.js";
import { exitCodes } from "./exitCodes.js";

function describe(answer: OperatorExplain): string[] {
    return answer.decisions.map(({ atMs, event, fields }) => {
        const pairs = Object.entries(fields)
            .filter(([, value]) => value !== undefined)
            .map(([key, value]) => `${key}=${String(value)}`);
        return [new Date(atMs).toISOString(), event, ...pairs].join(" ");
    });
}

/** `explain ID`: why a sample or request went where it did. */
export function createExplainCommand(io: CliIo): CommandDef {
    return defineCommand({
        meta: { name: "explain", description: "Show why a sample or request went where it did" },
        args: {
            id: {
                type: "positional",
                required: true,
                description: "Sample id (job/step/group/index) or request id.",
            },
            ...commonArgs,
        },
        run: async ({ args }): Promise<CommandOutput> => {
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
