import type { ManifestResult } from "./ManifestResult.js";
import { parseJson } from "./parseJson.js";
import { validateManifest } from "./validateManifest.js";

/** Parses and validates the text of a manifest file. */
export function parseManifest(text: string): ManifestResult {
    const parsed = parseJson(text);
    return parsed.kind === "invalid" ? parsed : validateManifest(parsed.json);
}
