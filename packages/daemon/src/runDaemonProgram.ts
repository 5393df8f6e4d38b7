import { createRandom } from "@auburnarch/clock/createRandom";
import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import { defineCommand, runMain } from "citty";
import { randomInt } from "node:crypto";
import { ignoreClosedTerminal } from "./ignoreClosedTerminal.js";
import type { ProcessContext } from "./ProcessContext.js";
import { runProcess } from "./runProcess.js";
import { runStandalone } from "./runStandalone.js";

const maxSeed = 2 ** 31;

[process.stdout, process.stderr].forEach(ignoreClosedTerminal);

const context: ProcessContext = {
    clock: createSystemClock(),
    random: createRandom(randomInt(maxSeed)),
    writeLine: line => void process.stdout.write(`${line}\n`),
};
const printLine = (line: string): void => void process.stderr.write(`${line}\n`);

const run = defineCommand({
    meta: { name: "run", description: "Run one process: an entry or a sidecar, as its settings say" },
    args: {
        settings: {
            type: "string",
            required: true,
            description: "JSON file with the settings; docs/settings.md lists them",
        },
        set: {
            type: "string",
            description: "Settings over those of the file: key=value, separated by commas",
        },
    },
    run: async ({ args }) => {
        const flags = Object.fromEntries(
            (args.set ?? "").split(",").filter(Boolean).map(pair => {
                const [key, ...value] = pair.split("=");
                return [key!, value.join("=")];
            }),
        );
        process.exit(await runProcess(args.settings, flags, context, printLine));
    },
});

const standalone = defineCommand({
    meta: {
        name: "standalone",
        description: "Run entries, sidecars and stand-ins of all outside systems in one process",
    },
    args: {
        manifest: { type: "string", description: "Manifest file; without it a small example is made" },
        port: {
            type: "string",
            default: "0",
            description: "Port of the first entry; 0 lets the system choose",
        },
        demo: { type: "boolean", default: false, description: "Run three steps of two jobs, then end" },
        log: { type: "string", description: "File for the log; without it the log goes to standard output" },
    },
    run: async ({ args }) => {
        const code = await runStandalone({
            manifestPath: args.manifest,
            port: Number(args.port),
            demo: args.demo,
            logPath: args.log,
            context,
            printLine: args.demo ? line => void process.stdout.write(`${line}\n`) : printLine,
        });
        process.exit(code);
    },
});

await runMain(defineCommand({
    meta: { name: "auburnarchd", description: "The rollout service's daemon" },
    subCommands: { run, standalone },
}));
