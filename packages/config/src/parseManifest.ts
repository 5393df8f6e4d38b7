import type { ManifestResult } from "./ManifestResult.js";
import { parseJson } from "./parseJson.js";
import { validateManifest } from "./validateManifest.js";

/** Reads a manifest from the text of a file. */
export function parseManifest(text: string): ManifestResult {
    const parsed = parseJson(text);
    return parsed.kind === "invalid" ? parsed : validateManifest(parsed.json);
}
