import { diffManifests } from "@auburnarch/config/diffManifests";
import { parseManifest } from "@auburnarch/config/parseManifest";
import { validateManifest } from "@auburnarch/config/validateManifest";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Manifest } from "@auburnarch/types/Manifest";
import type { OperatorManifest } from "@auburnarch/types/OperatorManifest";
import type { OperatorStatus } from "@auburnarch/types/OperatorStatus";
import { type CommandDef, defineCommand } from "citty";
import type { CliIo } from "./CliIo.js";
import type { CommandOutput } from "./CommandOutput.js";
import { commonArgs } from "./commonArgs.js";
import { connect } from "./connect.js";
import { exitCodes } from "./exitCodes.js";
import { failureOutput } from "./failureOutput.js";
import type { OperatorClient } from "./OperatorClient.js";
import { OperatorFailure } from "./OperatorFailure.js";
import { parseSeconds } from "./parseSeconds.js";
import { publishManifest } from "./publishManifest.js";
import { readInput } from "./readInput.js";
import { waitUntil } from "./waitUntil.js";

/** Output of a publication, with the version that is to become active. */
interface ApplyOutput extends CommandOutput {
    version: number;
}

/** Reads the published manifest and fills in its defaults, so that they do not show up as differences. */
async function readPublished(client: OperatorClient): Promise<OperatorManifest> {
    const published = await client.get("/operator/manifest") as OperatorManifest;
    const result = validateManifest(published.manifest);
    return result.kind === "valid" ? { version: published.version, manifest: result.manifest } : published;
}

async function readManifest(io: CliIo, path: string): Promise<Manifest> {
    const result = parseManifest(await readInput(io, path));
    if (result.kind === "valid") {
        return result.manifest;
    }
    const { number, name, action } = resultCodes.manifestInvalid;
    const message = `${path} has faults; nothing changed.`;
    throw new OperatorFailure({ code: number, name, message, action, faults: result.faults });
}

function describeRace(failure: OperatorFailure, before: Manifest | undefined): CommandOutput {
    const { current } = failure.error;
    const output = failureOutput(failure.error);
    if (current === undefined) {
        return output;
    }
    const winningChanges = diffManifests(before, current.manifest);
    const lines = [
        `Lost to version ${current.version}, which was published first. What it changed:`,
        ...(winningChanges.length === 0
            ? ["  (nothing beside its version)"]
            : winningChanges.map(line => `  ${line}`)),
    ];
    return { ...output, lines: [...output.lines, ...lines] };
}

function describeDryRun(before: OperatorManifest, manifest: Manifest): CommandOutput {
    const difference = diffManifests(before.manifest, manifest);
    const lines = difference.length === 0 ? ["Nothing would change."] : difference;
    return { exitCode: exitCodes.done, json: { version: before.version, difference }, lines };
}

async function publish(
    client: OperatorClient,
    before: OperatorManifest,
    manifest: Manifest,
): Promise<ApplyOutput> {
    const difference = diffManifests(before.manifest, manifest);
    if (difference.length === 0) {
        const message = `Version ${before.version} is the same already; nothing published.`;
        const json = { version: before.version, changed: false, difference };
        return { exitCode: exitCodes.done, version: before.version, json, lines: [message] };
    }
    try {
        const { version } = await publishManifest(client, manifest, before.version);
        const json = { version, changed: true, difference };
        const lines = [...difference, `Version ${version} is published.`];
        return { exitCode: exitCodes.done, version, json, lines };
    }
    catch (error) {
        if (error instanceof OperatorFailure && error.error.code === resultCodes.manifestRaced.number) {
            return { ...describeRace(error, before.manifest), version: before.version };
        }
        throw error;
    }
}

async function waitUntilActive(
    io: CliIo,
    client: OperatorClient,
    published: ApplyOutput,
    limitMs: number,
): Promise<CommandOutput> {
    const { version } = published;
    let behind: string[] = [];
    const everywhere = await waitUntil(io, limitMs, async () => {
        const { members } = await client.get("/operator/status") as OperatorStatus;
        behind = members.filter(member => member.configVersion < version).map(member => member.name);
        const activeCount = members.length - behind.length;
        const progress = `version ${version} in force on ${activeCount} of ${members.length} processes`;
        return { done: behind.length === 0, progress };
    });
    const messages = everywhere
        ? ["It is in force on every process known."]
        : [`Not yet in force on: ${behind.join(", ")}.`, "Look at `auburnarch status`."];
    return {
        exitCode: everywhere ? exitCodes.done : exitCodes.timedOut,
        json: { ...published.json as object, everywhere, behind },
        lines: [...published.lines, ...messages],
    };
}

/** `apply FILE`: publishes a manifest unless another client has published one in the meantime. */
export function createApplyCommand(io: CliIo): CommandDef {
    return defineCommand({
        meta: { name: "apply", description: "Publish a manifest; it is in force everywhere within seconds" },
        args: {
            "file": { type: "positional", required: true, description: "Manifest file." },
            "dry-run": { type: "boolean", description: "Show the difference and publish nothing." },
            "wait": { type: "boolean", description: "Wait until it is in force on every process known." },
            "timeout": {
                type: "string",
                description: "Longest wait in seconds.",
                default: "60",
                valueHint: "s",
            },
            ...commonArgs,
        },
        run: async ({ args }): Promise<CommandOutput> => {
            const limitMs = parseSeconds("--timeout", args.timeout);
            const manifest = await readManifest(io, args.file);
            const client = await connect(io, args);
            const before = await readPublished(client);
            if (args["dry-run"] === true) {
                return describeDryRun(before, manifest);
            }
            const published = await publish(client, before, manifest);
            if (args.wait !== true || published.exitCode !== exitCodes.done) {
                return published;
            }
            return waitUntilActive(io, client, published, limitMs);
        },
    }) as CommandDef;
}
