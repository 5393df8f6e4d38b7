import type { CommandDef } from "citty";

/** A command of the tree with the arguments that are left for it. */
interface FoundCommand {
    command: CommandDef;
    parent: CommandDef | undefined;
    rest: string[];
    /** A word that names no subcommand, where one is needed. */
    unknown: string | undefined;
    /** Names that would have done. */
    names: string[];
}

/** Follows the leading words of the arguments down the tree of commands. */
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
