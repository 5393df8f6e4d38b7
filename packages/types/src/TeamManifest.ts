import type { TeamId } from "./TeamId.js";

/** A team; `tokenDigests` are the SHA-256 digests, in hex, of the bearer tokens that authenticate it. */
export interface TeamManifest {
    team: TeamId;
    /** Guaranteed share of engine time, from 0 to 1; the shares of all teams add up to at most 1. */
    share: number;
    tokenDigests: string[];
}
