import { suggestName } from "@auburnarch/config/suggestName";
import type { ArgsDef } from "citty";

/**
 * Returns a message about the first invalid argument of a command, or undefined. The library ignores unknown flags, so
 * that a misspelt `--dry-rum` would publish the manifest.
 */
export function checkArguments(definition: ArgsDef, args: string[]): string | undefined {
    const flags = Object.keys(definition).filter(name => definition[name]!.type !== "positional");
    const positionals = Object.keys(definition).filter(name => definition[name]!.type === "positional");
    let positionalCount = 0;
    for (let at = 0; at < args.length; at++) {
        const arg = args[at]!;
        if (!arg.startsWith("-")) {
            positionalCount++;
            continue;
        }
        const [name, value] = arg.replace(/^-+/u, "").split("=", 2) as [string, string | undefined];
        if (!arg.startsWith("--") || !flags.includes(name)) {
            return `There is no flag ${arg}.${suggestName(name, flags)}`;
        }
        if (definition[name]!.type === "string" && value === undefined) {
            at++;
            if (args[at] === undefined) {
                return `The flag ${arg} needs a value.`;
            }
        }
    }
    if (positionalCount > positionals.length) {
        return `Too many arguments; expected ${positionals.length}.`;
    }
    return positionalCount < positionals.length
        ? `Missing argument: ${positionals[positionalCount]!.toUpperCase()}.`
        : undefined;
}
