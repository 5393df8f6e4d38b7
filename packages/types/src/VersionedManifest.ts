import type { ConfigVersion } from "./ConfigVersion.js";
import type { Manifest } from "./Manifest.js";

/** A manifest in force, with the version every process compares. */
export interface VersionedManifest {
    version: ConfigVersion;
    manifest: Manifest;
}
