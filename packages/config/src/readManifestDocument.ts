import type { ConfigVersion } from "@auburnarch/types/ConfigVersion";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import type { VersionedManifest } from "@auburnarch/types/VersionedManifest";
import { validateManifest } from "./validateManifest.js";

/**
 * Reads the manifest from a shared document and fills in its defaults; undefined if it is invalid. A pipeline may write
 * the object without limits or lists that have defaults, so the raw value is incomplete.
 */
export function readManifestDocument({ version, value }: SharedDocument): VersionedManifest | undefined {
    const result = validateManifest(value);
    return result.kind === "valid"
        ? { version: version as ConfigVersion, manifest: result.manifest }
        : undefined;
}
