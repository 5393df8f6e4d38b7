import { suggestName } from "@auburnarch/config/suggestName";
import { type ArgsDef, type CommandDef, renderUsage, runCommand } from "citty";
import { stripVTControlCharacters } from "node:util";
import { checkArguments } from "./checkArguments.js";
import type { CliIo } from "./CliIo.js";
import type { CommandOutput } from "./CommandOutput.js";
import { createMainCommand } from "./createMainCommand.js";
import { exitCodes } from "./exitCodes.js";
import { failureOutput } from "./failureOutput.js";
import { findCommand } from "./findCommand.js";
import { OperatorFailure } from "./OperatorFailure.js";

const wantsHelp = (args: string[]): boolean => args.includes("--help") || args.includes("-h");

async function showUsage(io: CliIo, command: CommandDef, parent: CommandDef | undefined): Promise<void> {
    const usage = await renderUsage(command, parent);
    io.writeOut(`${io.isTerminal ? usage : stripVTControlCharacters(usage)}\n`);
}

async function runFound(command: CommandDef, rest: string[]): Promise<CommandOutput> {
    try {
        const { result } = await runCommand(command, { rawArgs: rest });
        return result as CommandOutput;
    }
    catch (error) {
        if (error instanceof OperatorFailure) {
            return failureOutput(error.error);
        }
        const message = error instanceof Error ? error.message : String(error);
        return {
            exitCode: exitCodes.unexpected,
            json: { error: { message } },
            lines: [`Unexpected: ${message}`],
        };
    }
}

function print(io: CliIo, output: CommandOutput, asJson: boolean): void {
    if (asJson) {
        io.writeOut(`${JSON.stringify(output.json, undefined, 4)}\n`);
        return;
    }
    const text = output.lines.map(line => `${line}\n`).join("");
    if (output.exitCode === exitCodes.done) {
        io.writeOut(text);
    }
    else {
        io.writeError(text);
    }
}

function reportWrongUsage(io: CliIo, message: string, command: string): number {
    io.writeError(`${message}\nSee \`${command} --help\`.\n`);
    return exitCodes.wrongUsage;
}

/** Runs one command line and resolves to its exit code. */
export async function runCli(args: string[], io: CliIo): Promise<number> {
    const { command, parent, rest, unknown, names } = findCommand(createMainCommand(io), args);
    if (wantsHelp(rest)) {
        await showUsage(io, command, parent);
        return exitCodes.done;
    }
    if (names.length > 0) {
        const message = unknown === undefined
            ? "Name a command."
            : `There is no command "${unknown}".${suggestName(unknown, names)}`;
        return reportWrongUsage(io, message, "auburnarch");
    }
    const fault = checkArguments((command.args ?? {}) as ArgsDef, rest);
    if (fault !== undefined) {
        return reportWrongUsage(
            io,
            fault,
            `auburnarch ${args.slice(0, args.length - rest.length).join(" ")}`,
        );
    }
    const output = await runFound(command, rest);
    print(io, output, rest.includes("--json"));
    return output.exitCode;
}
