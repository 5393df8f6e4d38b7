import type { ConfigVersion } from "./ConfigVersion.js";
import type { Manifest } from "./Manifest.js";

/**
 * Answer of `GET /operator/manifest`: what the object API holds now, which may be newer than what is in force.
 * Version 0 and no manifest before the first is published.
 */
export interface OperatorManifest {
    version: ConfigVersion;
    manifest: Manifest | undefined;
}
