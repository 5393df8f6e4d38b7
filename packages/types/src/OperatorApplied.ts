import type { ConfigVersion } from "./ConfigVersion.js";

/** Answer of `POST /operator/manifest`. `changed` is false if the published manifest was already the same. */
export interface OperatorApplied {
    version: ConfigVersion;
    changed: boolean;
}
