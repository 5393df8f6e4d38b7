import { existsSync, readFileSync } from "node:fs";
import { z } from "zod";
import { listScenarios } from "./listScenarios.js";
import type { Scenario } from "./Scenario.js";
import { scenarioSchema } from "./scenarioSchema.js";
import { shippedFolder } from "./shippedFolder.js";

/**
 * Reads a scenario by the name of a shipped one or by its file.
 * @throws Error that lists the shipped scenarios if there is no such file, or all faults of the file if it is invalid.
 */
export function loadScenario(nameOrFile: string): Scenario {
    const shipped = `${shippedFolder}${nameOrFile}.json`;
    const file = existsSync(shipped) ? shipped : nameOrFile;
    if (!existsSync(file)) {
        throw new Error(`No scenario "${nameOrFile}". Give a file or one of: ${listScenarios().join(", ")}.`);
    }
    const parsed = scenarioSchema.safeParse(JSON.parse(readFileSync(file, "utf8")));
    if (!parsed.success) {
        throw new Error(`${nameOrFile}:\n${z.prettifyError(parsed.error)}`);
    }
    return parsed.data;
}
