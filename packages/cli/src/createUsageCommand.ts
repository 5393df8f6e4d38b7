import type { OperatorTeamUsage } from "@auburnarch/types/OperatorTeamUsage";
import type { OperatorUsage } from "@auburnarch/types/OperatorUsage";
import { type CommandDef, defineCommand } from "citty";
import type { CliIo } from "./CliIo.js";
import type { CommandOutput } from "./CommandOutput.js";
import { commonArgs } from "./commonArgs.js";
import { connect } from "./connect.js";
import { exitCodes } from "./exitCodes.js";
import { formatTable } from "./formatTable.js";

const headings = [
    "TEAM",
    "SAMPLES",
    "DELIVERED S",
    "DISCARDED S",
    "OVERHEAD S",
    "INTERACTIVE S",
    "DELIVERED TOKENS",
    "CALLS",
];

const toSeconds = (ms: number): string => (ms / 1_000).toFixed(1);

const toRow = (usage: OperatorTeamUsage): (string | number)[] => [
    usage.team,
    usage.samples,
    toSeconds(usage.deliveredEngineMs),
    toSeconds(usage.discardedEngineMs),
    toSeconds(usage.overheadEngineMs),
    toSeconds(usage.interactiveEngineMs),
    usage.deliveredTokens,
    usage.interactiveRequests,
];

/** `usage`: shows engine time and samples of each team; overhead is not charged to teams. */
export function createUsageCommand(io: CliIo): CommandDef {
    return defineCommand({
        meta: { name: "usage", description: "Show engine time and samples of each team" },
        args: commonArgs,
        run: async ({ args }): Promise<CommandOutput> => {
            const client = await connect(io, args);
            const answer = await client.get("/operator/usage") as OperatorUsage;
            const missing = answer.unreadSamplers.length === 0
                ? []
                : ["", `Not read, so missing above: ${answer.unreadSamplers.join(", ")}. Ask again later.`];
            return {
                exitCode: exitCodes.done,
                json: answer,
                lines: [
                    ...formatTable(headings, answer.teams.map(toRow)),
                    ...missing,
                    "",
                    "Seconds of engine time. Teams pay for delivered, discarded and interactive, not for overhead.",
                ],
            };
        },
    }) as CommandDef;
}
