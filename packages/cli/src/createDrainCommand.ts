import type { OperatorDrained } from "@auburnarch/types/OperatorDrained";
import type { OperatorSamplers } from "@auburnarch/types/OperatorSamplers";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import { type CommandDef, defineCommand } from "citty";
import type { CliIo } from "./CliIo.js";
import type { CommandOutput } from "./CommandOutput.js";
import { commonArgs } from "./commonArgs.js";
import { connect } from "./connect.js";
import { exitCodes } from "./exitCodes.js";
import type { OperatorClient } from "./OperatorClient.js";
import { parseSeconds } from "./parseSeconds.js";
import { waitUntil } from "./waitUntil.js";

async function countRunning(client: OperatorClient, sampler: string): Promise<number> {
    const { samplers } = await client.get("/operator/samplers") as OperatorSamplers;
    const view = samplers.find(({ report }) => report.sampler === sampler);
    return view === undefined ? 0 : view.report.running + view.report.waiting;
}

/** `drain SAMPLER`: stops sending new work to a sampler; running attempts continue. */
export function createDrainCommand(io: CliIo): CommandDef {
    return defineCommand({
        meta: { name: "drain", description: "Give a sampler no new work and let what runs finish" },
        args: {
            sampler: { type: "positional", required: true, description: "Name of the sampler." },
            wait: { type: "boolean", description: "Wait until nothing runs there." },
            timeout: {
                type: "string",
                description: "Longest wait in seconds.",
                default: "600",
                valueHint: "s",
            },
            ...commonArgs,
        },
        run: async ({ args }): Promise<CommandOutput> => {
            const limitMs = parseSeconds("--timeout", args.timeout);
            const client = await connect(io, args);
            const body = { sampler: args.sampler as SamplerId };
            const drained = await client.post("/operator/drain", body) as OperatorDrained;
            if (args.wait !== true) {
                const message = `${args.sampler} takes no new work; ${drained.running} attempts go on there.`;
                return { exitCode: exitCodes.done, json: drained, lines: [message] };
            }
            const empty = await waitUntil(io, limitMs, async () => {
                const running = await countRunning(client, args.sampler);
                return { done: running === 0, progress: `${args.sampler}: ${running} attempts left` };
            });
            return {
                exitCode: empty ? exitCodes.done : exitCodes.timedOut,
                json: { ...drained, empty },
                lines: empty
                    ? [`${args.sampler} is empty; its VM may be stopped.`]
                    : [`${args.sampler} still works; it takes no new work. Run the command again to go on waiting.`],
            };
        },
    }) as CommandDef;
}
