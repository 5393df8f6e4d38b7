import type { Manifest } from "@auburnarch/types/Manifest";

/** Behavior of the fakes of the external systems that run in the same process. */
export interface ExternalFakesPlan {
    manifest: Manifest;
    region: string;
    /** Number of entries. */
    entries: number;
    /** Tokens per second of a single generation on an idle engine. */
    tokensPerSecond: number;
    swapMs: number;
    plainLatencyMs: number;
}
