import type { ConfigFault } from "@auburnarch/types/ConfigFault";
import type { Manifest } from "@auburnarch/types/Manifest";

/** Result of validating a manifest: the manifest with its defaults filled in, or all faults that were found. */
export type ManifestResult =
    | { kind: "valid"; manifest: Manifest; }
    | { kind: "invalid"; faults: ConfigFault[]; };
