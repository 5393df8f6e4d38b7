import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import { defineCommand } from "citty";
import { writeFile } from "node:fs/promises";
import { formatPath } from "./formatPath.js";
import { runPath } from "./runPath.js";

const jsonIndent = 4;

/** `bench path`: measures what entry and sidecar add to a direct call of the same fake backend server. */
export const pathCommand = defineCommand({
    meta: {
        name: "path",
        description: "Added latency and throughput of entry and sidecar beside the direct call",
    },
    args: {
        json: { type: "string", description: "File for the figures as JSON" },
        seconds: { type: "string", default: "10", description: "Length of each phase in seconds" },
        rate: { type: "string", default: "65", description: "Requests a second of the latency phase" },
        streams: {
            type: "string",
            default: "600",
            description: "Concurrent token streams, 50 tokens a second each",
        },
    },
    run: async ({ args }) => {
        const report = await runPath({
            clock: createSystemClock(),
            phaseMs: Number(args.seconds) * 1_000,
            requestsPerSecond: Number(args.rate),
            streams: Number(args.streams),
            onPhase: name => process.stderr.write(`phase ${name}\n`),
        });
        if (args.json !== undefined) {
            await writeFile(args.json, `${JSON.stringify(report, undefined, jsonIndent)}\n`);
        }
        process.stdout.write(`${formatPath(report).join("\n")}\n`);
    },
});
