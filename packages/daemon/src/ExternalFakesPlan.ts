import type { Manifest } from "@auburnarch/types/Manifest";

/** How the embedded stand-ins behave; the defaults are those of `auburnarchd standalone`. */
export interface ExternalFakesPlan {
    manifest: Manifest;
    region: string;
    /** Entry VMs. */
    entries: number;
    /** Tokens a second of one generation alone. */
    tokensPerSecond: number;
    swapMs: number;
    plainLatencyMs: number;
}
