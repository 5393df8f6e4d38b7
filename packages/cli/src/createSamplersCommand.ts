import type { OperatorSamplers } from "@auburnarch/types/OperatorSamplers";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import { type CommandDef, defineCommand } from "citty";
import type { CliIo } from "./CliIo.js";
import type { CommandOutput } from "./CommandOutput.js";
import { commonArgs } from "./commonArgs.js";
import { connect } from "./connect.js";
import { exitCodes } from "./exitCodes.js";
import { formatTable } from "./formatTable.js";

const headings = [
    "SAMPLER",
    "SERVICE",
    "FAILURE DOMAIN",
    "STATE",
    "SERVES",
    "RUNNING",
    "WAITING",
    "LIMIT",
    "AGE MS",
];

const toRow = ({ report, reportAgeMs, suspected }: SamplerView): (string | number)[] => [
    report.sampler,
    report.service,
    report.failureDomain,
    suspected ? "suspected" : report.state,
    report.served.map(({ policy, version }) => `${policy}@${version}`).join(" ") || "-",
    report.running,
    report.waiting,
    Math.round(report.limit),
    Math.round(reportAgeMs),
];

/** `samplers`: shows state and load of the samplers that report to the called entry. */
export function createSamplersCommand(io: CliIo): CommandDef {
    return defineCommand({
        meta: {
            name: "samplers",
            description: "Show state and load of the samplers that report to the entry",
        },
        args: commonArgs,
        run: async ({ args }): Promise<CommandOutput> => {
            const client = await connect(io, args);
            const answer = await client.get("/operator/samplers") as OperatorSamplers;
            return {
                exitCode: exitCodes.done,
                json: answer,
                lines: formatTable(headings, answer.samplers.map(toRow)),
            };
        },
    }) as CommandDef;
}
