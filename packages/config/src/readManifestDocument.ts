import type { ConfigVersion } from "@auburnarch/types/ConfigVersion";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import type { VersionedManifest } from "@auburnarch/types/VersionedManifest";
import { validateManifest } from "./validateManifest.js";

/**
 * The manifest of a shared document with its defaults filled in; undefined where it has faults. A pipeline may
 * write the object without limits or lists that have defaults; used as it came, those would be missing.
 */
export function readManifestDocument({ version, value }: SharedDocument): VersionedManifest | undefined {
    const result = validateManifest(value);
    return result.kind === "valid"
        ? { version: version as ConfigVersion, manifest: result.manifest }
        : undefined;
}
