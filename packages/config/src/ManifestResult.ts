import type { ConfigFault } from "@auburnarch/types/ConfigFault";
import type { Manifest } from "@auburnarch/types/Manifest";

/** A manifest checked whole: taken with its defaults filled in, or refused with every fault named. */
export type ManifestResult =
    | { kind: "valid"; manifest: Manifest; }
    | { kind: "invalid"; faults: ConfigFault[]; };
