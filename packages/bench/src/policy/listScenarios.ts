import { readdirSync } from "node:fs";
import { shippedFolder } from "./shippedFolder.js";

/** Names of the shipped scenarios, sorted. */
export function listScenarios(): string[] {
    return readdirSync(shippedFolder).filter(name => name.endsWith(".json")).map(name => name.slice(0, -5))
        .sort();
}
