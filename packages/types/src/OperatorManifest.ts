import type { ConfigVersion } from "./ConfigVersion.js";
import type { Manifest } from "./Manifest.js";

/**
 * Answer of `GET /operator/manifest`: the manifest in the object API, which may be newer than the one in effect.
 * Version 0 and no manifest before the first one is published.
 */
export interface OperatorManifest {
    version: ConfigVersion;
    manifest: Manifest | undefined;
}
