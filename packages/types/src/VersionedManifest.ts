import type { ConfigVersion } from "./ConfigVersion.js";
import type { Manifest } from "./Manifest.js";

/** A manifest with its version, which every process compares to decide which manifest is newer. */
export interface VersionedManifest {
    version: ConfigVersion;
    manifest: Manifest;
}
