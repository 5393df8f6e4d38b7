import type { TeamId } from "./TeamId.js";

/** A team; `tokenDigests` are SHA-256 in hex of the bearer tokens that prove it. */
export interface TeamManifest {
    team: TeamId;
    /** Guaranteed part of engine time, 0 to 1; all teams together at most 1. */
    share: number;
    tokenDigests: string[];
}
