import type { ConfigVersion } from "./ConfigVersion.js";

/** Answer of `POST /operator/manifest`. `changed` is false where the published manifest is the same already. */
export interface OperatorApplied {
    version: ConfigVersion;
    changed: boolean;
}
