import { parseJson } from "@auburnarch/config/parseJson";
import { parseManifest } from "@auburnarch/config/parseManifest";
import { validateSettings } from "@auburnarch/config/validateSettings";
import type { ConfigFault } from "@auburnarch/types/ConfigFault";
import { type CommandDef, defineCommand } from "citty";
import type { CliIo } from "./CliIo.js";
import type { CommandOutput } from "./CommandOutput.js";
import { exitCodes } from "./exitCodes.js";
import { formatFaults } from "./formatFaults.js";
import { readInput } from "./readInput.js";

function findFaults(text: string, isSettings: boolean): ConfigFault[] {
    if (!isSettings) {
        const result = parseManifest(text);
        return result.kind === "valid" ? [] : result.faults;
    }
    const parsed = parseJson(text);
    const result = parsed.kind === "valid" ? validateSettings(parsed.json) : parsed;
    return result.kind === "valid" ? [] : result.faults;
}

/** `validate FILE`: reports all faults of a manifest or a settings file without calling an entry. */
export function createValidateCommand(io: CliIo): CommandDef {
    return defineCommand({
        meta: { name: "validate", description: "Check a manifest file and name every fault" },
        args: {
            file: { type: "positional", required: true, description: "Manifest file." },
            settings: { type: "boolean", description: "The file holds the settings of a process." },
            json: { type: "boolean", description: "Print JSON." },
        },
        run: async ({ args }): Promise<CommandOutput> => {
            const faults = findFaults(await readInput(io, args.file), args.settings === true);
            if (faults.length === 0) {
                return {
                    exitCode: exitCodes.done,
                    json: { valid: true, faults },
                    lines: [`${args.file} is valid.`],
                };
            }
            const count = faults.length === 1 ? "1 fault" : `${faults.length} faults`;
            return {
                exitCode: exitCodes.faults,
                json: { valid: false, faults },
                lines: [`${args.file} has ${count}:`, ...formatFaults(faults).map(line => `  ${line}`)],
            };
        },
    }) as CommandDef;
}
