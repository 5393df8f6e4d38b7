import type { CommandDef } from "citty";

/** A command of the command tree, with its remaining arguments. */
interface FoundCommand {
    command: CommandDef;
    parent: CommandDef | undefined;
    rest: string[];
    /** The argument that should name a subcommand and does not. */
    unknown: string | undefined;
    /** Names of the subcommands that are valid here. */
    names: string[];
}

/** Resolves the leading arguments to a command of the command tree. */
export function findCommand(main: CommandDef, args: string[]): FoundCommand {
    let command = main;
    let parent: CommandDef | undefined;
    let rest = args;
    for (;;) {
        const subCommands = (command.subCommands ?? {}) as Record<string, CommandDef>;
        const names = Object.keys(subCommands);
        const [word] = rest;
        if (names.length === 0) {
            return { command, parent, rest, unknown: undefined, names };
        }
        if (word === undefined || !names.includes(word)) {
            return { command, parent, rest, unknown: word, names };
        }
        parent = command;
        command = subCommands[word]!;
        rest = rest.slice(1);
    }
}
